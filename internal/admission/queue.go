package admission

import (
	"slices"
	"time"

	"currantstall/internal/manifest"
)

// Queue admits and orders the units of one class of work at one entry. It is
// not safe for concurrent use.
type Queue struct {
	cfg              Config
	capacity         float64 // units that this entry's targets run at the same time
	headroomFraction float64 // fraction of a kind's unused guarantee that stays free
	quotaFraction    float64 // this entry's fraction of the teams' quotas

	kinds      []*kind
	byKind     map[string]*kind
	teams      map[string]*team
	units      map[uint64]*node
	groupHeads map[uint64]*node // newest queued or running node of each group
	wheel      timingWheel
	expired    []Unit // units that expired since the last Expire

	lastNow   time.Time // time passed to the last Offer, Next or Expire
	running   int
	queued    int
	round     uint64 // number of the Next or TakeForOffload call
	lastSeq   uint64 // of the last inserted unit
	startSeq  uint64 // number of units started
	freeNodes *node  // recycled nodes, linked by flowNext
}

// New returns a queue without kinds, teams or capacity.
func New(cfg Config) *Queue {
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	return &Queue{
		cfg:              cfg,
		quotaFraction:    1,
		headroomFraction: defaultHeadroomPercent / 100.0,
		byKind:           map[string]*kind{},
		teams:            map[string]*team{},
		units:            map[uint64]*node{},
		groupHeads:       map[uint64]*node{},
	}
}

// Configure applies the kinds of this queue's class, the teams and the limits
// of a manifest. Queued and running units are kept. Kinds that are no longer in
// the manifest lose their guarantee and are deleted by the first Configure that
// finds them without units.
func (q *Queue) Configure(now time.Time, kinds []manifest.Kind, teams []manifest.Team, limits manifest.Limits) {
	q.headroomFraction = defaultHeadroomPercent / 100.0
	if limits.HeadroomPercent > 0 {
		q.headroomFraction = float64(limits.HeadroomPercent) / 100
	}
	q.configureKinds(kinds)
	q.configureTeams(now, teams)
}

func (q *Queue) configureKinds(kinds []manifest.Kind) {
	for _, k := range q.kinds {
		k.removed, k.share = true, 0
	}
	sum := 0.0
	for i := range kinds {
		m := &kinds[i]
		k := q.byKind[m.Name]
		if k == nil {
			k = newKind(m)
			q.kinds = append(q.kinds, k)
			q.byKind[m.Name] = k
		}
		k.removed, k.urgency, k.share = false, m.Urgency, max(m.Share, minShare)
		sum += k.share
	}
	q.kinds = slices.DeleteFunc(q.kinds, func(k *kind) bool {
		drop := k.removed && k.running == 0 && k.queued == 0
		if drop {
			delete(q.byKind, k.name)
		}
		return drop
	})
	for _, k := range q.kinds {
		k.share /= max(1, sum) // with minimum shares, the sum must not exceed the capacity
	}
}

func (q *Queue) configureTeams(now time.Time, teams []manifest.Team) {
	old := q.teams
	q.teams = make(map[string]*team, len(teams))
	for i := range teams {
		t := old[teams[i].Name]
		if t == nil {
			t = &team{}
		}
		t.configure(now, &teams[i], q.quotaFraction)
		q.teams[teams[i].Name] = t
	}
	for _, k := range q.kinds {
		for name, f := range k.flows {
			if f.length == 0 && q.teams[name] == nil {
				delete(k.flows, name)
			}
		}
	}
}

// SetCapacity sets the number of units that this entry's targets can run at the
// same time. It may be less than the number of running units; nothing starts
// until enough of them have ended.
func (q *Queue) SetCapacity(slots float64) { q.capacity = max(0, slots) }

// SetQuotaFraction sets this entry's fraction of the teams' quotas, greater
// than 0 and at most 1. A fraction of 0 or less is ignored; one above 1 counts
// as 1.
func (q *Queue) SetQuotaFraction(now time.Time, fraction float64) {
	if fraction == q.quotaFraction || fraction <= 0 {
		return
	}
	q.quotaFraction = min(1, fraction)
	for _, t := range q.teams {
		t.applyFraction(now, q.quotaFraction)
	}
}

// SetPeerCapacity sets how many units of a kind peers could start now, and the
// wait until then, network latency included. Up to that many units that would
// miss their deadline at this entry are admitted if they would meet it at a
// peer. An unknown kind is ignored.
func (q *Queue) SetPeerCapacity(kind string, units int, wait time.Duration) {
	if k := q.byKind[kind]; k != nil {
		k.peerCapacity, k.peerWait = units, wait
	}
}

// Next removes the next unit to start from the queue and counts it as running.
// hasRoom reports whether a target has room for the unit; if not, the unit's
// kind is skipped in this call. Next returns false if no unit may start now.
func (q *Queue) Next(now time.Time, hasRoom func(Unit) bool) (Unit, bool) {
	q.lastNow = now
	q.round++
	for q.queued > 0 && float64(q.running)+1 <= q.capacity {
		k := q.chooseKind(now)
		if k == nil {
			break
		}
		n := k.peek()
		if n.latestStart < now.UnixNano() {
			q.expire(n)
			continue
		}
		if !hasRoom(n.unit) {
			k.skippedRound = q.round
			continue
		}
		q.start(now, n)
		return n.unit, true
	}
	return Unit{}, false
}

// start counts a queued node as running.
func (q *Queue) start(now time.Time, n *node) {
	n.kind.updateCredit(now, q.capacity)
	q.wheel.remove(n)
	n.kind.serve(n)
	n.state = stateRunning
	q.queued--
	q.running++
	q.startSeq++
	n.kind.lastStartSeq = q.startSeq
}

// Finish ends a running unit. took is the time for which the unit occupied its
// target, and ok reports whether it returned a usable answer. An unknown ID is
// ignored.
func (q *Queue) Finish(now time.Time, id uint64, took time.Duration, ok bool) {
	n := q.units[id]
	if n == nil || n.state != stateRunning {
		return
	}
	n.kind.adjustCharge(n.flow, took)
	n.kind.service.Observe(took, ok)
	q.endRunning(now, n)
}

// FinishNotRun ends a running unit that did not run, for example because its
// target refused it. It does not affect the estimated run times. An unknown ID
// is ignored.
func (q *Queue) FinishNotRun(now time.Time, id uint64) {
	n := q.units[id]
	if n == nil || n.state != stateRunning {
		return
	}
	n.kind.adjustCharge(n.flow, 0)
	q.endRunning(now, n)
}

func (q *Queue) endRunning(now time.Time, n *node) {
	n.kind.updateCredit(now, q.capacity)
	n.kind.running--
	q.running--
	q.recycle(n)
}

// Cancel removes a queued unit, in constant time apart from reordering the
// teams. It returns false if the unit is unknown or running; a running unit is
// counted until Finish.
func (q *Queue) Cancel(id uint64) bool {
	n := q.units[id]
	if n == nil || n.state != stateQueued {
		return false
	}
	q.removeQueued(n)
	return true
}

// CancelGroup removes all queued units of a group and returns their number.
func (q *Queue) CancelGroup(group uint64) int {
	count := 0
	for n := q.groupHeads[group]; n != nil; {
		next := n.groupNext
		if n.state == stateQueued {
			q.removeQueued(n)
			count++
		}
		n = next
	}
	return count
}

// Expire removes and returns the queued units that can no longer meet their
// deadline. The other units of their groups stay queued; see CancelGroup.
func (q *Queue) Expire(now time.Time) []Unit {
	q.lastNow = now
	q.wheel.advance(now.UnixNano(), q.expire)
	expired := q.expired
	q.expired = nil
	return expired
}

func (q *Queue) expire(n *node) {
	q.expired = append(q.expired, n.unit)
	q.removeQueued(n)
}

// removeQueued removes a queued node from the timing wheel, its flow and the
// indexes.
func (q *Queue) removeQueued(n *node) {
	q.wheel.remove(n)
	n.kind.dequeue(n)
	q.queued--
	q.recycle(n)
}

// insert queues an admitted unit.
func (q *Queue) insert(u Unit, k *kind, weight float64, class int, latestStart time.Time) {
	n := q.freeNodes
	if n == nil {
		n = &node{}
	} else {
		q.freeNodes = n.flowNext
	}
	q.lastSeq++
	*n = node{unit: u, state: stateQueued, kind: k, sizeClass: class, seq: q.lastSeq, latestStart: latestStart.UnixNano()}
	q.units[u.ID] = n
	if head := q.groupHeads[u.Group]; head != nil {
		n.groupNext = head
		head.groupPrev = n
	}
	q.groupHeads[u.Group] = n
	q.wheel.add(n)
	name := u.Team
	if q.cfg.Policy != Shares {
		name, weight, n.sizeClass = "", 1, 0 // the baseline policies ignore teams
	}
	k.enqueue(n, name, weight)
	q.queued++
}

// recycle removes a node from the unit and group indexes and keeps it for
// reuse.
func (q *Queue) recycle(n *node) {
	delete(q.units, n.unit.ID)
	if n.groupPrev != nil {
		n.groupPrev.groupNext = n.groupNext
	} else if n.groupNext != nil {
		q.groupHeads[n.unit.Group] = n.groupNext
	} else {
		delete(q.groupHeads, n.unit.Group)
	}
	if n.groupNext != nil {
		n.groupNext.groupPrev = n.groupPrev
	}
	*n = node{flowNext: q.freeNodes}
	q.freeNodes = n
}
