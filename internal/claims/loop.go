package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"currantstall/internal/journal"
	"currantstall/internal/ledger"
	"currantstall/internal/membership"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// inbox is an unbounded queue of functions that the loop runs.
type inbox struct {
	mu     sync.Mutex
	work   []func()
	signal chan struct{}
}

func newInbox() inbox { return inbox{signal: make(chan struct{}, 1)} }

func (b *inbox) put(f func()) {
	b.mu.Lock()
	b.work = append(b.work, f)
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *inbox) takeAll() []func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.work
	b.work = nil
	return w
}

// post makes the loop run f with mu locked.
func (r *Runtime) post(f func()) { r.inbox.put(f) }

func (r *Runtime) loop() {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		ticked := false
		select {
		case <-r.ctx.Done():
			r.failCalls()
			return
		case <-tick.C:
			ticked = true
		case <-r.inbox.signal:
		}
		r.runOnce(ticked)
	}
}

// runOnce runs all queued functions and, after a tick, the timers; then it
// sends the resulting messages.
func (r *Runtime) runOnce(ticked bool) {
	for _, f := range r.inbox.takeAll() {
		r.withLock(f)
	}
	if ticked {
		r.withLock(func() {
			r.stepMembership(membership.Tick{})
			r.stepLedger(ledger.Tick{})
		})
	}
	r.flush(time.Now())
	r.reportView()
}

func (r *Runtime) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// reportView logs a change of the views and passes it to OnViewChange.
func (r *Runtime) reportView() {
	r.mu.Lock()
	s := r.snapshot()
	r.mu.Unlock()
	t := &r.reported
	if s.Self == t.Self && s.Ready == t.Ready && s.InForce.Version == t.InForce.Version && s.Newest.Version == t.Newest.Version {
		return
	}
	r.reported = s
	if s.InForce.Version > 0 || s.Newest.Version > 0 {
		r.cfg.Log.Info("view", "self", s.Self.Incarnation, "in_force", s.InForce.Version, "newest", s.Newest.Version, "ready", s.Ready)
	}
	if r.cfg.OnViewChange != nil {
		r.cfg.OnViewChange(s)
	}
}

func (r *Runtime) stepMembership(e membership.Event) {
	for _, a := range r.membership.Step(r.stepTime(), e) {
		r.doMembershipAction(a)
	}
}

func (r *Runtime) doMembershipAction(a membership.Action) {
	switch a := a.(type) {
	case membership.Send:
		r.outbox(a.To).addHeartbeat(a.Heartbeat)
	case membership.ReadRow:
		r.readRow()
	case membership.PutRow:
		r.putRow(a)
	case membership.ViewLearned:
		r.stepLedger(ledger.ViewLearned(a))
	case membership.ViewInForce:
		r.stepLedger(ledger.ViewInForce(a))
	case membership.MembershipEnded:
		r.membershipEnded(a)
	}
}

// membershipEnded ends this incarnation. Unless the entry is leaving, it joins
// again under a new incarnation.
func (r *Runtime) membershipEnded(o membership.MembershipEnded) {
	r.stepLedger(ledger.MembershipEnded{})
	if r.leaving {
		if o.Left {
			r.flushAll(time.Now())
		}
		close(r.left)
		return
	}
	r.cfg.Log.Warn("this entry was removed from the view; joining again under a new incarnation", "incarnation", r.self.Incarnation)
	self := r.self
	self.Incarnation++
	r.post(func() {
		r.startIncarnation(self)
		for _, name := range slices.Sorted(maps.Keys(r.links)) {
			r.stepMembership(membership.PeerSeen{Member: r.links[name]})
		}
	})
}

func (r *Runtime) stepLedger(e ledger.Event) { r.stepLedgerOf(r.ledger, e) }

func (r *Runtime) stepLedgerOf(l *ledger.Ledger, e ledger.Event) {
	now := r.stepTime()
	var lease time.Time
	if l == r.ledger {
		lease = r.membership.LeaseEnd()
	}
	for _, a := range l.Step(now, lease, e) {
		r.doLedgerAction(l, a)
	}
}

func (r *Runtime) doLedgerAction(l *ledger.Ledger, a ledger.Action) {
	switch a := a.(type) {
	case ledger.Send:
		r.outbox(a.To).addLedgerMessage(time.Now(), a)
	case ledger.Reply:
		r.deliverReply(l, a)
	case ledger.Record:
		r.recordOutcome(a)
	case ledger.HandedOver:
		r.stepMembership(membership.HandedOver(a))
	case ledger.LeaveReady:
		r.stepMembership(membership.Leave(a))
	}
}

func (r *Runtime) recordOutcome(a ledger.Record) {
	if r.cfg.Journal == nil {
		return
	}
	e := journal.RecordOf(a.Key, a.Outcome)
	e.Digest = a.Digest
	e.FromPeer = a.FromPeer
	if !r.cfg.Journal.Record(e) {
		r.cfg.Log.Warn("journal is full; the outcome is not recorded in the account", "key", a.Key)
	}
}

func (r *Runtime) rowKey() string { return rowPrefix + r.cfg.Membership.DC }

// readRow reads the view's row in the background.
func (r *Runtime) readRow() {
	startedAt := time.Now()
	issuer := r.membership
	r.runTableCall(func(ctx context.Context) {
		e, err := r.fetchView(ctx)
		if err != nil {
			r.cfg.Log.Debug("reading the view row failed", "err", err)
		}
		e.StartedAt = startedAt
		r.post(func() {
			if r.membership == issuer {
				r.stepMembership(e)
			}
		})
	})
}

func (r *Runtime) fetchView(ctx context.Context) (membership.RowRead, error) {
	row, err := r.cfg.Table.Get(ctx, r.rowKey())
	if errors.Is(err, platform.ErrNotFound) {
		return membership.RowRead{OK: true}, nil
	}
	if err != nil {
		return membership.RowRead{}, err
	}
	e := membership.RowRead{OK: true, RowVersion: row.Version}
	if err := json.Unmarshal(row.Value, &e.View); err != nil {
		return membership.RowRead{}, fmt.Errorf("decode view row %s: %w", row.Key, err)
	}
	return e, nil
}

// putRow writes the view's row in the background.
func (r *Runtime) putRow(p membership.PutRow) {
	startedAt := time.Now()
	issuer := r.membership
	r.runTableCall(func(ctx context.Context) {
		result := r.commitView(ctx, p)
		r.post(func() {
			if r.membership == issuer {
				r.stepMembership(membership.RowPut{StartedAt: startedAt, Result: result})
			}
		})
	})
}

func (r *Runtime) commitView(ctx context.Context, p membership.PutRow) membership.PutResult {
	value, err := json.Marshal(p.View)
	if err != nil {
		return membership.PutNotApplied
	}
	err = r.cfg.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: r.rowKey(), Version: p.RowVersion}},
		Puts:       []platform.Put{{Key: r.rowKey(), Value: value}},
	})
	switch {
	case err == nil:
		return membership.PutApplied
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		r.cfg.Log.Debug("writing the view row failed; nothing was written", "err", err)
		return membership.PutNotApplied
	}
	r.cfg.Log.Debug("writing the view row failed; it may have been written", "err", err)
	return membership.PutUnknown
}

func (r *Runtime) runTableCall(f func(ctx context.Context)) {
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, tableTimeout)
		defer cancel()
		f(ctx)
	})
}

// failCalls fails the calls that still wait when the loop ends.
func (r *Runtime) failCalls() {
	err := verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry has stopped")
	for _, c := range r.calls {
		c.deliver(ledger.Reply{Err: err})
	}
}

// withIncarnation returns an incarnation of a sender.
func withIncarnation(from structs.Member, incarnation uint64) structs.Member {
	from.Incarnation = incarnation
	return from
}
