package placement

import (
	"time"

	"currantstall/internal/structs"
)

// Usage is what runs on a target.
type Usage struct {
	Running int
	Used    structs.Resources
}

// Unknown returns what a target reported beyond what this entry itself had
// there at that time: the work of the earlier owner. It is never negative.
func Unknown(own, reported Usage) Usage {
	u := reported.Used.Minus(own.Used)
	return Usage{
		Running: max(0, reported.Running-own.Running),
		Used: structs.Resources{
			MilliCPU:     max(0, u.MilliCPU),
			MemoryMB:     max(0, u.MemoryMB),
			Accelerators: max(0, u.Accelerators),
		},
	}
}

const (
	historyLen      = 16
	historyInterval = 250 * time.Millisecond
)

// history remembers what this entry ran on a target over the last 4 s, as
// usage reports lag: a report is compared with the past that it speaks of.
type history struct {
	samples [historyLen]sample
	next    int
}

type sample struct {
	at    time.Time
	usage Usage
}

// note records the usage up to now, at most once an interval.
func (h *history) note(now time.Time, u Usage) {
	last := &h.samples[(h.next+historyLen-1)%historyLen]
	if now.Sub(last.at) < historyInterval {
		return
	}
	h.samples[h.next] = sample{at: now, usage: u}
	h.next = (h.next + 1) % historyLen
}

// at returns the usage at a time: that of the first sample not before it, or
// the current one if there is none.
func (h *history) at(t time.Time, current Usage) Usage {
	for i := range historyLen {
		s := &h.samples[(h.next+i)%historyLen]
		if !s.at.IsZero() && !s.at.Before(t) {
			return s.usage
		}
	}
	return current
}
