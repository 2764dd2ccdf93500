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

// ForeignUsage returns what a target reported beyond what this entry itself had
// there at that time: the work of the earlier owner. It is never negative.
func ForeignUsage(own, reported Usage) Usage {
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
	historySamples  = 16
	historyInterval = 250 * time.Millisecond
	// reportSlack is how much older than it says a report may be.
	reportSlack = time.Second
)

// usageHistory remembers the most that this entry ran on a target in each interval
// of the last 4 s, as usage reports lag: a report is compared with the past
// that it speaks of.
type usageHistory struct {
	samples [historySamples]usageSample
	next    int
}

type usageSample struct {
	start time.Time
	peak  Usage
}

// record records a usage that began now.
func (h *usageHistory) record(now time.Time, u Usage) {
	last := &h.samples[(h.next+historySamples-1)%historySamples]
	if now.Sub(last.start) < historyInterval {
		last.peak = last.peak.max(u)
		return
	}
	h.samples[h.next] = usageSample{start: now, peak: u}
	h.next = (h.next + 1) % historySamples
}

// peakSince returns the most that ran from a time on. A report is compared with
// that and not with the very moment, peakSince own work that is taken for another's
// would shut the target out, while other work that is missed costs only speed.
func (h *usageHistory) peakSince(t time.Time, current Usage) Usage {
	t = t.Add(-reportSlack)
	peak := current
	for i := range h.samples {
		s := &h.samples[i]
		if s.start.Add(historyInterval).After(t) {
			peak = peak.max(s.peak)
		}
	}
	return peak
}

func (u Usage) max(o Usage) Usage {
	return Usage{
		Running: max(u.Running, o.Running),
		Used: structs.Resources{
			MilliCPU:     max(u.Used.MilliCPU, o.Used.MilliCPU),
			MemoryMB:     max(u.Used.MemoryMB, o.Used.MemoryMB),
			Accelerators: max(u.Used.Accelerators, o.Used.Accelerators),
		},
	}
}
