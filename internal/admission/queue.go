package admission

import (
	"slices"
	"time"

	"currantstall/internal/manifest"
)

// Queue admits and orders the units of one class of work at one entry.
type Queue struct {
	cfg      Config
	capacity float64 // units that own targets run at one time
	headroom float64 // part of a kind's unused guarantee that stays free
	fraction float64 // this entry's part of the teams' quotas

	kinds  []*kind
	byKind map[string]*kind
	teams  map[string]*team
	units  map[uint64]*node
	groups map[uint64]*node // first queued or running node of a group
	wheel  wheel
	gone   []Unit // expired in Next, for the next Expire

	now     time.Time // of the last call that told it
	running int
	queued  int
	round   uint64
	order   uint64
	turns   uint64
	free    *node // recycled nodes, linked by flowNext
}

// New returns a queue without kinds, teams and capacity.
func New(cfg Config) *Queue {
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	return &Queue{
		cfg:      cfg,
		fraction: 1,
		headroom: defaultHeadroomPercent / 100.0,
		byKind:   map[string]*kind{},
		teams:    map[string]*team{},
		units:    map[uint64]*node{},
		groups:   map[uint64]*node{},
	}
}

// Configure adopts the kinds of this queue's class, the teams and the limits
// of a manifest. What is queued or running stays; kinds that are no longer in
// the manifest keep no guarantee and vanish once they are empty.
func (q *Queue) Configure(now time.Time, kinds []manifest.Kind, teams []manifest.Team, limits manifest.Limits) {
	q.headroom = defaultHeadroomPercent / 100.0
	if limits.HeadroomPercent > 0 {
		q.headroom = float64(limits.HeadroomPercent) / 100
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
		k.share /= max(1, sum) // minimum shares must not promise more than all
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
		t.configure(now, &teams[i], q.fraction)
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

// SetCapacity sets the number of units that own targets can run at one time.
// It may fall below what is running; then nothing starts until it is not.
func (q *Queue) SetCapacity(slots float64) { q.capacity = max(0, slots) }

// SetQuotaFraction sets this entry's part of the teams' quotas, above 0 to 1.
func (q *Queue) SetQuotaFraction(now time.Time, fraction float64) {
	if fraction == q.fraction || fraction <= 0 {
		return
	}
	q.fraction = min(1, fraction)
	for _, t := range q.teams {
		t.apply(now, q.fraction)
	}
}

// SetPeers tells how many units of a kind peers could start now, and after what
// wait, the trip included. Up to that many units that would miss their deadline
// here are admitted if they would meet it there. An unknown kind is ignored.
func (q *Queue) SetPeers(kind string, room int, wait time.Duration) {
	if k := q.byKind[kind]; k != nil {
		k.peerRoom, k.peerWait = room, wait
	}
}

// Next takes the next unit to start and counts it as running. room reports
// whether a target has a place for the unit; a kind for whose first unit there
// is none is passed over. It returns false if nothing may start now.
func (q *Queue) Next(now time.Time, room func(Unit) bool) (Unit, bool) {
	q.now = now
	q.round++
	for q.queued > 0 && float64(q.running)+1 <= q.capacity {
		k := q.choose(now)
		if k == nil {
			break
		}
		n := k.first()
		if n.lastStart < now.UnixNano() {
			q.expire(n)
			continue
		}
		if !room(n.unit) {
			k.refused = q.round
			continue
		}
		q.start(now, n)
		return n.unit, true
	}
	return Unit{}, false
}

// start moves a queued node to the running ones.
func (q *Queue) start(now time.Time, n *node) {
	n.kind.settle(now, q.capacity)
	q.wheel.remove(n)
	n.kind.serve(n)
	n.state = running
	q.queued--
	q.running++
	q.turns++
	n.kind.turn = q.turns
}

// Finished ends a running unit. took is the time that it held its place; ok
// means that it ran to a usable answer. An unknown id changes nothing.
func (q *Queue) Finished(now time.Time, id uint64, took time.Duration, ok bool) {
	n := q.units[id]
	if n == nil || n.state != running {
		return
	}
	n.kind.charge(n.flow, took)
	n.kind.service.Observe(took, ok)
	q.end(now, n)
}

// Returned puts an end to a running unit that turned out not to have run at
// all, such as one that its target refused, without learning from it.
func (q *Queue) Returned(now time.Time, id uint64) {
	n := q.units[id]
	if n == nil || n.state != running {
		return
	}
	n.kind.charge(n.flow, 0)
	q.end(now, n)
}

func (q *Queue) end(now time.Time, n *node) {
	n.kind.settle(now, q.capacity)
	n.kind.running--
	q.running--
	q.forget(n)
}

// Cancel removes a queued unit, in constant time up to the order of teams. It
// returns false if the unit is unknown or running; a running one is counted
// until Finished.
func (q *Queue) Cancel(id uint64) bool {
	n := q.units[id]
	if n == nil || n.state != queued {
		return false
	}
	q.drop(n)
	return true
}

// CancelGroup removes the queued units of a group and returns their number.
func (q *Queue) CancelGroup(group uint64) int {
	count := 0
	for n := q.groups[group]; n != nil; {
		next := n.groupNext
		if n.state == queued {
			q.drop(n)
			count++
		}
		n = next
	}
	return count
}

// Expire removes and returns the queued units that can no longer meet their
// deadline. The rest of their groups stays; see CancelGroup.
func (q *Queue) Expire(now time.Time) []Unit {
	q.now = now
	q.wheel.due(now.UnixNano(), q.expire)
	gone := q.gone
	q.gone = nil
	return gone
}

func (q *Queue) expire(n *node) {
	q.gone = append(q.gone, n.unit)
	q.drop(n)
}

// drop removes a queued node from everywhere.
func (q *Queue) drop(n *node) {
	q.wheel.remove(n)
	n.kind.dequeue(n)
	q.queued--
	q.forget(n)
}

// insert queues an admitted unit.
func (q *Queue) insert(u Unit, k *kind, weight float64, class int, lastStart time.Time) {
	n := q.free
	if n == nil {
		n = &node{}
	} else {
		q.free = n.flowNext
	}
	q.order++
	*n = node{unit: u, state: queued, kind: k, class: class, order: q.order, lastStart: lastStart.UnixNano()}
	q.units[u.ID] = n
	if head := q.groups[u.Group]; head != nil {
		n.groupNext = head
		head.groupPrev = n
	}
	q.groups[u.Group] = n
	q.wheel.add(n)
	name := u.Team
	if q.cfg.Policy != Shares {
		name, weight, n.class = "", 1, 0 // the baselines know no teams
	}
	k.enqueue(n, name, weight)
	q.queued++
}

// forget drops the last traces of a node and recycles it.
func (q *Queue) forget(n *node) {
	delete(q.units, n.unit.ID)
	if n.groupPrev != nil {
		n.groupPrev.groupNext = n.groupNext
	} else if n.groupNext != nil {
		q.groups[n.unit.Group] = n.groupNext
	} else {
		delete(q.groups, n.unit.Group)
	}
	if n.groupNext != nil {
		n.groupNext.groupPrev = n.groupPrev
	}
	*n = node{flowNext: q.free}
	q.free = n
}
