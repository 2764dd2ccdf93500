package manifest

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/platform"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
	"currantstall/platform/platformd"
)

// Fates of a commit besides those of platformd.
const (
	answerLostThenDown = platformd.FirstCustomDelivery + iota
	overtaken          // another operator's change is accepted first
)

var fates = []platformd.Delivery{
	platformd.Delivered, platformd.ResponseLost, answerLostThenDown,
	platformd.RequestLost, platformd.RequestDelayed, overtaken,
}

// process is one run of an entry.
type process struct {
	name    string
	rollout *Rollout
	last    uint64 // highest version adopted
}

type envelope struct {
	from, to string
	msg      wire.Message
}

// world is a platform with faults, some entries and the messages in flight.
type world struct {
	*platformd.LossyStore
	t        *rapid.T
	down     bool
	nested   bool
	cancel   context.CancelFunc
	procs    []*process
	flying   []envelope
	changes  int
	accepted map[uint64]*Manifest
	refused  map[float64]bool // team weights of changes that were refused
}

func (w *world) blocked() error {
	if !w.down {
		return nil
	}
	if w.cancel != nil {
		w.cancel() // a caller does not wait for the end of an outage
	}
	return platform.ErrUnavailable
}

func (w *world) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := w.blocked(); err != nil {
		return platform.Row{}, err
	}
	if rapid.IntRange(0, 15).Draw(w.t, "race a read") == 0 {
		w.rival()
	}
	return w.Store.Get(ctx, key)
}

func (w *world) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := w.blocked(); err != nil {
		return nil, err
	}
	return w.Store.Scan(ctx, prefix, after, min(limit, 1000))
}

func (w *world) Commit(ctx context.Context, txn platform.Txn) error {
	if err := w.blocked(); err != nil {
		return err
	}
	if w.nested {
		return w.Store.Commit(ctx, txn)
	}
	fate := rapid.SampledFrom(fates).Draw(w.t, "fate")
	switch fate {
	case answerLostThenDown:
		w.down = true
		fate = platformd.ResponseLost
	case overtaken:
		w.rival()
		fate = platformd.Delivered
	}
	return w.CommitWith(ctx, txn, fate)
}

// rival has another operator's change accepted in the midst of a call.
func (w *world) rival() {
	if w.nested {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	s := w.newStore()
	base, err := s.Load(context.Background())
	assert.NilError(w.t, err)
	w.apply(base, func(next *Manifest) (*Manifest, error) {
		u, err := s.Apply(context.Background(), "rival", base.Version, next)
		return u.Manifest, err
	})
}

// apply makes a change of its own to base and checks what it is told.
func (w *world) apply(base *Manifest, do func(*Manifest) (*Manifest, error)) {
	w.changes++
	weight := float64(w.changes)
	name := fmt.Sprintf("team-%d", w.changes%5)
	sections := []Section{teamSection(Team{Name: name, Weight: weight})}
	if w.changes%4 == 0 { // too large for rows
		sections = append(sections, teamSection(Team{Name: "team-large", Weight: weight}))
	}
	next := base.with(0, sections)
	if w.changes%7 == 0 && len(next.Teams) > 1 {
		next.Teams = slices.Delete(next.Teams, 0, 1)
	}
	got, err := do(next)
	if err != nil {
		if verdict.FromError(err).Verdict == verdict.NotRun {
			w.refused[weight] = true
		}
		return
	}
	next.Version = base.version()
	if len(Diff(base, next)) > 0 {
		next.Version++
	}
	assert.DeepEqual(w.t, got, next)
	w.accepted[next.Version] = next
}

func (w *world) newStore() *Store {
	s := NewStore(w)
	s.maxRows = 1
	return s
}

func (w *world) start(name string) *process {
	p := &process{name: name}
	p.rollout = NewRollout(RolloutConfig{Store: w.newStore(), Peers: &link{w, name}})
	p.rollout.Subscribe(func(m *Manifest) {
		assert.Assert(w.t, m.Version > p.last, "%s went from version %d to %d", name, p.last, m.Version)
		p.last = m.Version
		if known := w.accepted[m.Version]; known != nil {
			assert.DeepEqual(w.t, m, known)
		}
		w.accepted[m.Version] = m
		for _, team := range m.Teams {
			assert.Assert(w.t, !w.refused[team.Weight], "version %d holds a refused change", m.Version)
		}
	})
	return p
}

type link struct {
	w    *world
	from string
}

func (l *link) Broadcast(m wire.Message) {
	for _, p := range l.w.procs {
		if p.name != l.from {
			l.Send(p.name, m)
		}
	}
}

func (l *link) Send(to string, m wire.Message) {
	l.w.flying = append(l.w.flying, envelope{l.from, to, m})
}

// deliver hands over one message, out of order.
func (w *world) deliver() {
	if len(w.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flying)-1).Draw(w.t, "message")
	e := w.flying[i]
	if rapid.IntRange(0, 3).Draw(w.t, "duplicate") > 0 {
		w.flying = slices.Delete(w.flying, i, i+1)
	}
	for _, p := range w.procs {
		if p.name == e.to {
			assert.NilError(w.t, p.rollout.Handle(e.from, e.msg))
		}
	}
}

func (w *world) act() {
	i := rapid.IntRange(0, len(w.procs)-1).Draw(w.t, "process")
	p := w.procs[i]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.cancel = cancel
	switch rapid.SampledFrom([]string{"apply", "apply", "poll", "deliver", "deliver", "deliver", "drop", "down", "up", "late", "restart"}).Draw(w.t, "action") {
	case "apply":
		base := p.rollout.Current()
		w.apply(base, func(next *Manifest) (*Manifest, error) {
			return p.rollout.Apply(ctx, p.name, base.version(), next)
		})
	case "poll":
		_ = p.rollout.Poll(ctx)
	case "deliver":
		w.deliver()
	case "drop":
		w.flying = nil
	case "down":
		w.down = true
	case "up":
		w.down = false
	case "late":
		w.DeliverDelayed()
	case "restart":
		w.procs[i] = w.start(p.name)
	}
}

// linkUp joins each pair of processes.
func (w *world) linkUp() {
	for _, p := range w.procs {
		for _, q := range w.procs {
			if p != q {
				p.rollout.LinkUp(q.name)
			}
		}
	}
	w.settle()
}

// pollInOutage has each process poll twice, since what it asks for may be
// overtaken by what it is told.
func (w *world) pollInOutage() {
	for range 2 {
		for _, p := range w.procs {
			assert.ErrorIs(w.t, p.rollout.Poll(context.Background()), platform.ErrUnavailable)
		}
		w.settle()
	}
}

// settle delivers all messages in flight and those that they cause.
func (w *world) settle() {
	for n := 0; len(w.flying) > 0; n++ {
		assert.Assert(w.t, n < 10_000, "messages without end")
		w.deliver()
	}
}

// TestRolloutNeverGoesBackAndLosesNothing drives racing operators through lost
// and late answers, outages, restarts, and loss, duplication and reordering of
// pushes.
func TestRolloutNeverGoesBackAndLosesNothing(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		w := &world{LossyStore: &platformd.LossyStore{Store: platformd.NewStore()}, t: t, accepted: map[uint64]*Manifest{}, refused: map[float64]bool{}}
		w.SetFaults(platformd.Faults{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			w.procs = append(w.procs, w.start(name))
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.act()
		}

		// An outage with whole links: all come to the highest version held.
		w.down, w.cancel = true, nil
		w.flying = nil
		w.procs[0] = w.start(w.procs[0].name)
		var highest uint64
		for _, p := range w.procs {
			highest = max(highest, p.rollout.Current().version())
		}
		if rapid.Bool().Draw(t, "links come up") {
			w.linkUp()
		} else {
			w.pollInOutage()
		}
		for _, p := range w.procs {
			assert.Equal(t, p.rollout.Current().version(), highest, p.name)
		}

		// With faults over, all hold the table's version.
		w.down, w.nested = false, true
		w.DeliverDelayed()
		table, err := NewStore(w).Load(ctx)
		assert.NilError(t, err)
		for v := range w.accepted {
			assert.Assert(t, v <= table.Version, "accepted version %d is lost, the table is at %d", v, table.Version)
		}
		for _, p := range w.procs {
			assert.NilError(t, p.rollout.Poll(ctx))
			if table.Version > 0 {
				assert.DeepEqual(t, p.rollout.Current(), table)
			}
		}
	})
}
