package placement

import (
	"time"

	"currantstall/internal/structs"
)

// Usage is the load of a target: its number of running tasks and their
// resources.
type Usage struct {
	Running int
	Used    structs.Resources
}

// ForeignUsage returns the usage that a target reported beyond the usage by
// this entry's own tasks at that time. It stems from tasks of the former owner
// and is never negative.
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
	// reportSlack is the most by which a report may be older than its
	// timestamp.
	reportSlack = time.Second
)

// usageHistory records the peak usage by this entry's own tasks on a target in
// each interval of the last 4 s. Usage reports lag, so each report is compared
// with the usage at the time that it describes.
type usageHistory struct {
	samples [historySamples]usageSample
	next    int
}

// usageSample is the peak usage in the interval that begins at start.
type usageSample struct {
	start time.Time
	peak  Usage
}

// record adds a usage that begins at now.
func (h *usageHistory) record(now time.Time, u Usage) {
	last := &h.samples[(h.next+historySamples-1)%historySamples]
	if now.Sub(last.start) < historyInterval {
		last.peak = last.peak.max(u)
		return
	}
	h.samples[h.next] = usageSample{start: now, peak: u}
	h.next = (h.next + 1) % historySamples
}

// peakSince returns the peak usage from reportSlack before t until now, where
// current is the usage now. A report is compared with this peak rather than
// with the usage at one instant: own tasks mistaken for foreign ones would
// block the target, while foreign tasks that are missed only cost speed.
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
