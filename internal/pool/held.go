package pool

import (
	"math"

	"currantstall/internal/fleet"
)

// heldEnd is the end of a run that must not be acknowledged before a record is saved.
type heldEnd struct {
	target      *target
	incarnation int64 // of the target; its ends can't be acknowledged to the next one
	end         fleet.End
	job         string
	recordSeq   int // of the record; math.MaxInt while the job, or its occurrence, is not restored
}

// holdEnd delays the acknowledgement of an end until the record that contains it is
// saved, or until the run's job is restored.
func (p *Pool) holdEnd(t *target, e fleet.End) {
	if e.Kind != fleet.EndDone && e.Kind != fleet.EndFailed {
		return
	}
	h := heldEnd{target: t, incarnation: t.Incarnation, end: e, job: fleet.BaseJobID(e.Task.Job)}
	j, ended, rj := p.jobs[e.Task.Job], p.stored.ended[h.job], p.stored.recurring[h.job]
	switch {
	case rj != nil && p.comesLater(rj, e.Task.Job):
		h.recordSeq = math.MaxInt
		p.stored.unknownJobEnds[e.Task.Job] = append(p.stored.unknownJobEnds[e.Task.Job], h)
	case rj != nil && rj.seq > rj.savedSeq:
		h.recordSeq = rj.seq
	case rj != nil:
		return
	case j != nil && j.Stored && j.seq > j.savedSeq:
		h.recordSeq = j.seq
	case ended != nil && !ended.saved:
		h.recordSeq = ended.seq
	case j == nil && ended == nil && (p.stored.expected || p.stored.unknown) && (!p.stored.owned || p.stored.ofLaterOwner(e.Run)):
		p.stored.followed = p.stored.owned
		h.recordSeq = math.MaxInt
		p.stored.unknownJobEnds[e.Task.Job] = append(p.stored.unknownJobEnds[e.Task.Job], h)
	default:
		return
	}
	t.heldEnds = append(t.heldEnds, h)
}

// ofLaterOwner reports whether a run of an unknown job was started by an owner that has followed. An owner
// need not renew its ownership while it has no jobs, and does not notice then that another has it.
func (s *storedState) ofLaterOwner(run int) bool { return run >= (s.epoch+1)*runsPerEpoch }

// isOver reports whether the incarnation of the target that has reported the end is over.
func (h *heldEnd) isOver() bool { return h.incarnation != 0 && h.incarnation != h.target.Incarnation }

// takeHeldEnds removes and returns the ends that were held until the job is restored.
func (p *Pool) takeHeldEnds(id string) []heldEnd {
	ends := p.stored.unknownJobEnds[id]
	delete(p.stored.unknownJobEnds, id)
	for _, h := range ends {
		h.target.releaseHeld(func(o heldEnd) bool { return o.end == h.end })
	}
	return ends
}

// releaseUnknownEnds permits the acknowledgement of ends whose jobs are not stored.
func (p *Pool) releaseUnknownEnds() {
	for id := range p.stored.unknownJobEnds {
		if rj := p.stored.recurring[fleet.BaseJobID(id)]; rj == nil || !p.comesLater(rj, id) {
			p.takeHeldEnds(id)
		}
	}
}

// ackNumber returns the number of the last end that may be acknowledged.
func (t *target) ackNumber() int64 {
	n := t.lastEnd
	for _, h := range t.heldEnds {
		n = min(n, h.end.Number-1)
	}
	return n
}

// ackDue reports whether there are ends to acknowledge. An acknowledgement counts once the hold
// that carried it was answered.
func (t *target) ackDue() bool { return t.ackNumber() > t.ackedEnd }

// releaseHeld releases the held ends that match.
func (t *target) releaseHeld(match func(heldEnd) bool) {
	kept := t.heldEnds[:0]
	for _, h := range t.heldEnds {
		if !match(h) {
			kept = append(kept, h)
		}
	}
	t.heldEnds = kept
}
