package ledger

import (
	"fmt"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/membership"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// node is one entry VM: a process that runs, pauses, stops and starts again.
type node struct {
	w           *world
	index       int
	name        string
	clockOffset time.Duration // of its clock
	clockRate   float64
	up          bool
	pausedUntil time.Duration // until
	leaving     bool
	tableCut    bool // cut off from the table
	self        structs.Member
	membership  *membership.State
	ledger      *Ledger
	requests    map[uint64]*request
	lastCallID  uint64
}

func (n *node) now() time.Time {
	return simEpoch.Add(n.clockOffset + time.Duration(float64(n.w.now)*n.clockRate))
}

// inIncarnation runs f in the process while it is the run of that incarnation,
// after its pause.
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

// later runs f in this run of the process after d.
func (n *node) later(d time.Duration, f func()) {
	inc := n.self.Incarnation
	n.w.after(d, func() { n.inIncarnation(inc, f) })
}

// boot starts a new run.
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
	for _, o := range n.w.nodes {
		if o != n {
			n.link(o)
			o.link(n)
		}
	}
	n.tick()
}

// link makes the run of another entry known, as its hello does.
func (n *node) link(o *node) {
	if !n.up || !o.up || n.w.cut[[2]int{o.index, n.index}] || n.w.cut[[2]int{n.index, o.index}] {
		return
	}
	m := o.self
	n.later(time.Millisecond, func() { n.step(membership.PeerSeen{Member: m}) })
}

func (n *node) tick() {
	n.step(membership.Tick{})
	n.ledgerStep(n.ledger, Tick{})
	n.later(tickInterval, n.tick)
}

func (n *node) step(e membership.Event) {
	for _, a := range n.membership.Step(n.now(), e) {
		n.memberAction(a)
	}
}

func (n *node) memberAction(a membership.Action) {
	switch a := a.(type) {
	case membership.Send:
		from := n.self
		n.w.deliver(n, a.To, func(to *node) { to.step(membership.Received{From: from, Heartbeat: a.Heartbeat}) })
	case membership.ReadRow:
		asked := n.now()
		inc := n.self.Incarnation
		n.w.read(n, func(ok bool, version uint64, v structs.View) {
			n.inIncarnation(inc, func() {
				n.step(membership.RowRead{StartedAt: asked, OK: ok, RowVersion: version, View: v})
			})
		})
	case membership.PutRow:
		asked := n.now()
		inc := n.self.Incarnation
		n.w.put(n, a, func(r membership.PutResult) {
			n.inIncarnation(inc, func() { n.step(membership.RowPut{StartedAt: asked, Result: r}) })
		})
	case membership.ViewLearned:
		n.ledgerStep(n.ledger, ViewLearned(a))
	case membership.ViewInForce:
		n.ledgerStep(n.ledger, ViewInForce(a))
	case membership.MembershipEnded:
		n.ledgerStep(n.ledger, MembershipEnded{})
		n.later(50*time.Millisecond, n.boot)
	}
}

func (n *node) ledgerStep(l *Ledger, e Event) {
	for _, a := range l.Step(n.now(), n.membership.LeaseEnd(), e) {
		n.ledgerAction(l, a)
	}
}

func (n *node) ledgerAction(l *Ledger, a Action) {
	switch a := a.(type) {
	case Send:
		from := *l.self
		if r, ok := a.Message.(ClaimReply); ok && r.Result == Granted {
			n.w.grant(r.ID, r.ViewVersion, from)
		}
		n.w.deliver(n, a.To, func(to *node) {
			to.ledgerStep(to.ledger, Received{From: from, Message: a.Message})
		})
	case Reply:
		n.reply(l, a)
	case HandedOver:
		n.step(membership.HandedOver(a))
	case LeaveReady:
		n.step(membership.Leave(a))
	}
}

// submit lets a copy of a request arrive.
func (n *node) submit(k key.Key, digest uint64) {
	n.inIncarnation(n.self.Incarnation, func() {
		c := &request{key: k, received: n.w.now, ledger: n.ledger, digest: digest}
		n.lastCallID++
		n.requests[n.lastCallID] = c
		n.ledgerStep(n.ledger, Acquire{CallID: n.lastCallID, Key: k, Digest: digest})
	})
}

// refuse lets a copy arrive that is refused without a claim.
func (n *node) refuse(k key.Key) {
	n.inIncarnation(n.self.Incarnation, func() {
		n.lastCallID++
		n.requests[n.lastCallID] = &request{key: k, received: n.w.now, ledger: n.ledger, refuse: true}
		n.ledgerStep(n.ledger, Refuse{CallID: n.lastCallID, Key: k})
	})
}

func (n *node) reply(l *Ledger, r Reply) {
	c := n.requests[r.CallID]
	if c == nil || c.ledger != l {
		return
	}
	delete(n.requests, r.CallID)
	switch {
	case r.Granted:
		home, _ := l.latestView().homeAndBackup(c.key.ID)
		if home.Same(*l.self) {
			n.w.grant(c.key.ID, l.inForce, *l.self)
		}
		n.later(n.w.upTo(300*time.Millisecond), func() { n.startWork(c) })
	case r.Err != nil && r.Err.Verdict == verdict.NotRun:
		n.w.notRun(c.key, n.name, string(r.Err.Reason))
	case c.refuse && r.Err == nil:
		n.w.notRun(c.key, n.name, "refuse")
	case r.Outcome != nil && r.Outcome.Verdict == verdict.Completed:
		if !n.w.hist.started[c.key.ID] {
			n.w.fail("completed without a start: key %s", c.key.ID)
		}
		n.w.hist.served[c.key.ID] = true
	}
}

// startWork is the engine after a grant: it starts the work, or refuses it.
func (n *node) startWork(c *request) {
	refused := func(why string) {
		n.w.notRun(c.key, n.name, why)
		n.ledgerStep(c.ledger, Finish{Key: c.key, Outcome: structs.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlinePassed}})
	}
	if n.w.rng.IntN(5) == 0 && c.digest != 0 {
		refused("deadline")
		return
	}
	lease := n.membership.LeaseEnd()
	if c.ledger != n.ledger {
		lease = time.Time{}
	}
	if _, err := c.ledger.MayStart(n.now(), lease, c.key); err != nil {
		if err.Verdict == verdict.NotRun {
			refused("lease")
		}
		return
	}
	n.w.start(c)
	n.later(n.w.upTo(600*time.Millisecond), func() {
		n.w.hist.served[c.key.ID] = true
		n.ledgerStep(c.ledger, Finish{Key: c.key, Outcome: completed()})
	})
}

// leave stops the process as planned: it drains, hands over and leaves, or is
// killed if that takes too long.
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
			for _, e := range n.ledger.claims {
				busy = busy || e.open() && n.ledger.heldHere(e)
			}
			switch {
			case busy && n.w.now < deadline:
				n.later(50*time.Millisecond, drain)
			case busy:
				n.kill()
			default:
				n.ledgerStep(n.ledger, Leave{})
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
