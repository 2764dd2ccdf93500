package pool

import (
	"math"

	"currantstall/internal/fleet"
)

// heldEnd is an end that must not be acknowledged before a record is saved.
type heldEnd struct {
	target    *target
	end       fleet.End
	job       string
	recordSeq int // of the record; math.MaxInt while the job is not restored
}

// holdEnd keeps an end from being acknowledged while a record that it belongs to
// is not saved.
func (p *Pool) holdEnd(t *target, e fleet.End) {
	if e.Kind != fleet.EndDone && e.Kind != fleet.EndFailed {
		return
	}
	h := heldEnd{target: t, end: e, job: fleet.BaseJobID(e.Task.Job)}
	j, ended, tm := p.jobs[e.Task.Job], p.stored.ended[h.job], p.stored.recurring[h.job]
	switch {
	case tm != nil && tm.seq > tm.savedSeq:
		h.recordSeq = tm.seq
	case tm != nil:
		return
	case j != nil && j.Stored && j.seq > j.savedSeq:
		h.recordSeq = j.seq
	case ended != nil && !ended.saved:
		h.recordSeq = ended.seq
	case j == nil && ended == nil && (p.stored.expected || p.stored.unknown) && !p.stored.owned:
		h.recordSeq = math.MaxInt
		p.stored.unknownJobEnds[e.Task.Job] = append(p.stored.unknownJobEnds[e.Task.Job], h)
	default:
		return
	}
	t.heldEnds = append(t.heldEnds, h)
}

// takeHeldEnds returns the ends of a job that waited for it.
func (p *Pool) takeHeldEnds(id string) []heldEnd {
	ends := p.stored.unknownJobEnds[id]
	delete(p.stored.unknownJobEnds, id)
	for _, h := range ends {
		h.target.releaseHeld(func(o heldEnd) bool { return o.end == h.end })
	}
	return ends
}

// releaseUnknownEnds lets the ends of jobs that nobody has stored be acknowledged.
func (p *Pool) releaseUnknownEnds() {
	for id := range p.stored.unknownJobEnds {
		p.takeHeldEnds(id)
	}
}

// ackNumber returns the number of the last end that may be ackNumber.
func (t *target) ackNumber() int64 {
	n := t.lastEnd
	for _, h := range t.heldEnds {
		n = min(n, h.end.Number-1)
	}
	return n
}

func (t *target) releaseHeld(done func(heldEnd) bool) {
	kept := t.heldEnds[:0]
	for _, h := range t.heldEnds {
		if done(h) {
			t.ackDue = true
		} else {
			kept = append(kept, h)
		}
	}
	t.heldEnds = kept
}
