package ledger

import (
	"fmt"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/membership"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// node simulates one entry VM: a process that runs, pauses, stops and restarts.
type node struct {
	w           *world
	index       int
	name        string
	clockOffset time.Duration
	clockRate   float64
	up          bool
	pausedUntil time.Duration
	leaving     bool
	tableCut    bool // the table is unreachable
	self        structs.Member
	membership  *membership.State
	ledger      *Ledger
	requests    map[uint64]*request
	lastCallID  uint64
}

func (n *node) now() time.Time {
	return simEpoch.Add(n.clockOffset + time.Duration(float64(n.w.now)*n.clockRate))
}

// inIncarnation runs f in the process, after its pause, if the process is up
// with that incarnation.
func (n *node) inIncarnation(incarnation uint64, f func()) {
	if !n.up || n.self.Incarnation != incarnation {
		return
	}
	if n.w.now < n.pausedUntil {
		n.w.after(n.pausedUntil-n.w.now, func() { n.inIncarnation(incarnation, f) })
		return
	}
	f()
}

// later runs f after d, if the process is still in this incarnation.
func (n *node) later(d time.Duration, f func()) {
	inc := n.self.Incarnation
	n.w.after(d, func() { n.inIncarnation(inc, f) })
}

// boot starts a new incarnation.
func (n *node) boot() {
	n.up = true
	n.pausedUntil = 0
	n.leaving = false
	n.self = structs.Member{Name: n.name, Incarnation: n.self.Incarnation + 1, Addr: n.name + ":1"}
	if n.w.shortPromiseLease {
		n.self.Addr = fmt.Sprintf("%s:%d", n.name, n.w.rng.IntN(2))
	}
	n.membership = membership.New(n.w.config(), n.self, n.now())
	n.ledger = New(DefaultConfig(simDC), n.self)
	n.ledger.disabled = n.w.disabled
	n.requests = make(map[uint64]*request)
	for _, other := range n.w.nodes {
		if other != n {
			n.link(other)
			other.link(n)
		}
	}
	n.tick()
}

// link reports the incarnation of another entry, as its hello does.
func (n *node) link(other *node) {
	if !n.up || !other.up || n.w.cut[[2]int{other.index, n.index}] || n.w.cut[[2]int{n.index, other.index}] {
		return
	}
	m := other.self
	n.later(time.Millisecond, func() { n.stepMembership(membership.PeerSeen{Member: m}) })
}

func (n *node) tick() {
	n.stepMembership(membership.Tick{})
	n.stepLedger(n.ledger, Tick{})
	n.later(tickInterval, n.tick)
}

func (n *node) stepMembership(e membership.Event) {
	for _, a := range n.membership.Step(n.now(), e) {
		n.doMembershipAction(a)
	}
}

func (n *node) doMembershipAction(a membership.Action) {
	switch a := a.(type) {
	case membership.Send:
		from := n.self
		n.w.deliver(n, a.To, func(to *node) { to.stepMembership(membership.Received{From: from, Heartbeat: a.Heartbeat}) })
	case membership.ReadRow:
		startedAt := n.now()
		inc := n.self.Incarnation
		n.w.read(n, func(ok bool, version uint64, v structs.View) {
			n.inIncarnation(inc, func() {
				n.stepMembership(membership.RowRead{StartedAt: startedAt, OK: ok, RowVersion: version, View: v})
			})
		})
	case membership.PutRow:
		startedAt := n.now()
		inc := n.self.Incarnation
		n.w.put(n, a, func(r membership.PutResult) {
			n.inIncarnation(inc, func() { n.stepMembership(membership.RowPut{StartedAt: startedAt, Result: r}) })
		})
	case membership.ViewLearned:
		n.stepLedger(n.ledger, ViewLearned(a))
	case membership.ViewInForce:
		n.stepLedger(n.ledger, ViewInForce(a))
	case membership.MembershipEnded:
		n.stepLedger(n.ledger, MembershipEnded{})
		n.later(50*time.Millisecond, n.boot)
	}
}

func (n *node) stepLedger(l *Ledger, e Event) {
	for _, a := range l.Step(n.now(), n.membership.LeaseEnd(), e) {
		n.doLedgerAction(l, a)
	}
}

func (n *node) doLedgerAction(l *Ledger, a Action) {
	switch a := a.(type) {
	case Send:
		from := *l.self
		if r, ok := a.Message.(ClaimReply); ok && r.Result == Granted {
			n.w.grant(r.ID, r.ViewVersion, from)
		}
		n.w.deliver(n, a.To, func(to *node) {
			to.stepLedger(to.ledger, Received{From: from, Message: a.Message})
		})
	case Reply:
		n.reply(l, a)
	case HandedOver:
		n.stepMembership(membership.HandedOver(a))
	case LeaveReady:
		n.stepMembership(membership.Leave(a))
	}
}

// submit simulates the arrival of a copy of a request.
func (n *node) submit(k key.Key, digest uint64) {
	n.inIncarnation(n.self.Incarnation, func() {
		req := &request{key: k, received: n.w.now, ledger: n.ledger, digest: digest}
		n.lastCallID++
		n.requests[n.lastCallID] = req
		n.stepLedger(n.ledger, Acquire{CallID: n.lastCallID, Key: k, Digest: digest})
	})
}

// refuse simulates the arrival of a copy that is refused without a claim.
func (n *node) refuse(k key.Key) {
	n.inIncarnation(n.self.Incarnation, func() {
		n.lastCallID++
		n.requests[n.lastCallID] = &request{key: k, received: n.w.now, ledger: n.ledger, refuse: true}
		n.stepLedger(n.ledger, Refuse{CallID: n.lastCallID, Key: k})
	})
}

func (n *node) reply(l *Ledger, r Reply) {
	req := n.requests[r.CallID]
	if req == nil || req.ledger != l {
		return
	}
	delete(n.requests, r.CallID)
	switch {
	case r.Granted:
		home, _ := l.latestView().homeAndBackup(req.key.ID)
		if home.Same(*l.self) {
			n.w.grant(req.key.ID, l.inForce, *l.self)
		}
		n.later(n.w.upTo(300*time.Millisecond), func() { n.startWork(req) })
	case r.Err != nil && r.Err.Verdict == verdict.NotRun:
		n.w.notRun(req.key, n.name, string(r.Err.Reason))
	case req.refuse && r.Err == nil:
		n.w.notRun(req.key, n.name, "refuse")
	case r.Outcome != nil && r.Outcome.Verdict == verdict.Completed:
		if !n.w.hist.started[req.key.ID] {
			n.w.fail("completed without a start: key %s", req.key.ID)
		}
		n.w.hist.served[req.key.ID] = true
	}
}

// startWork simulates the engine after a grant: it starts the work or refuses
// it.
func (n *node) startWork(req *request) {
	refused := func(why string) {
		n.w.notRun(req.key, n.name, why)
		n.stepLedger(req.ledger, Finish{Key: req.key, Outcome: structs.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlinePassed}})
	}
	if n.w.rng.IntN(5) == 0 && req.digest != 0 {
		refused("deadline")
		return
	}
	lease := n.membership.LeaseEnd()
	if req.ledger != n.ledger {
		lease = time.Time{}
	}
	if _, err := req.ledger.MayStart(n.now(), lease, req.key); err != nil {
		if err.Verdict == verdict.NotRun {
			refused("lease")
		}
		return
	}
	n.w.start(req)
	n.later(n.w.upTo(600*time.Millisecond), func() {
		n.w.hist.served[req.key.ID] = true
		n.stepLedger(req.ledger, Finish{Key: req.key, Outcome: completed()})
	})
}

// leave simulates a planned stop: the process drains, hands over its claims and
// leaves the view, or is killed if that takes too long.
func (n *node) leave() {
	n.inIncarnation(n.self.Incarnation, func() {
		if n.w.faultsOver {
			return
		}
		n.leaving = true
		deadline := n.w.now + 2*time.Second
		var drain func()
		drain = func() {
			busy := len(n.requests) > 0
			for _, claim := range n.ledger.claims {
				busy = busy || claim.open() && n.ledger.heldHere(claim)
			}
			switch {
			case busy && n.w.now < deadline:
				n.later(50*time.Millisecond, drain)
			case busy:
				n.kill()
			default:
				n.stepLedger(n.ledger, Leave{})
				n.later(time.Second, func() { n.kill() })
			}
		}
		drain()
	})
}

func (n *node) kill() {
	n.up = false
	n.leaving = false
}
