package pool

import (
	"math"

	"currantstall/internal/fleet"
)

// heldEnd is an end that must not be acknowledged before a record is saved.
type heldEnd struct {
	target *target
	end    fleet.End
	job    string
	seq    int // of the record; math.MaxInt while the job is not restored
}

// holdBack keeps an end from being acknowledged while a record that it belongs to
// is not saved.
func (p *Pool) holdBack(t *target, e fleet.End) {
	if e.Kind != fleet.EndDone && e.Kind != fleet.EndFailed {
		return
	}
	h := heldEnd{target: t, end: e, job: fleet.BaseJobID(e.Task.Job)}
	j, ended, tm := p.jobs[e.Task.Job], p.stored.ended[h.job], p.stored.timed[h.job]
	switch {
	case tm != nil && tm.seq > tm.savedSeq:
		h.seq = tm.seq
	case tm != nil:
		return
	case j != nil && j.Stored && j.seq > j.savedSeq:
		h.seq = j.seq
	case ended != nil && !ended.saved:
		h.seq = ended.seq
	case j == nil && ended == nil && (p.stored.expected || p.stored.unknown) && !p.stored.owned:
		h.seq = math.MaxInt
		p.stored.ends[e.Task.Job] = append(p.stored.ends[e.Task.Job], h)
	default:
		return
	}
	t.held = append(t.held, h)
}

// takeEndsOf returns the ends of a job that waited for it.
func (p *Pool) takeEndsOf(id string) []heldEnd {
	ends := p.stored.ends[id]
	delete(p.stored.ends, id)
	for _, h := range ends {
		h.target.release(func(o heldEnd) bool { return o.end == h.end })
	}
	return ends
}

// releaseUnknownEnds lets the ends of jobs that nobody has stored be acknowledged.
func (p *Pool) releaseUnknownEnds() {
	for id := range p.stored.ends {
		p.takeEndsOf(id)
	}
}

// acknowledged returns the number of the last end that may be acknowledged.
func (t *target) acknowledged() int64 {
	n := t.seen
	for _, h := range t.held {
		n = min(n, h.end.Number-1)
	}
	return n
}

func (t *target) release(done func(heldEnd) bool) {
	kept := t.held[:0]
	for _, h := range t.held {
		if done(h) {
			t.unacked = true
		} else {
			kept = append(kept, h)
		}
	}
	t.held = kept
}
