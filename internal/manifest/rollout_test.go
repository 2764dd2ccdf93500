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
	outageAfterCommit = platformd.FirstCustomDelivery + iota
	rivalCommitsFirst // another operator's change is accepted first
)

var deliveries = []platformd.Delivery{
	platformd.Delivered, platformd.ResponseLost, outageAfterCommit,
	platformd.RequestLost, platformd.RequestDelayed, rivalCommitsFirst,
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

// cluster is a platform with faults, some entries and the messages in flight.
type cluster struct {
	*platformd.LossyStore
	t           *rapid.T
	down        bool
	inRivalCall bool
	cancel      context.CancelFunc
	procs       []*process
	inFlight    []envelope
	changes     int
	accepted    map[uint64]*Manifest
	rejected    map[float64]bool // team weights of changes that were refused
}

func (w *cluster) blocked() error {
	if !w.down {
		return nil
	}
	if w.cancel != nil {
		w.cancel() // a caller does not wait for the end of an outage
	}
	return platform.ErrUnavailable
}

func (w *cluster) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := w.blocked(); err != nil {
		return platform.Row{}, err
	}
	if rapid.IntRange(0, 15).Draw(w.t, "race a read") == 0 {
		w.applyRival()
	}
	return w.Store.Get(ctx, key)
}

func (w *cluster) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := w.blocked(); err != nil {
		return nil, err
	}
	return w.Store.Scan(ctx, prefix, after, min(limit, 1000))
}

func (w *cluster) Commit(ctx context.Context, txn platform.Txn) error {
	if err := w.blocked(); err != nil {
		return err
	}
	if w.inRivalCall {
		return w.Store.Commit(ctx, txn)
	}
	delivery := rapid.SampledFrom(deliveries).Draw(w.t, "fate")
	switch delivery {
	case outageAfterCommit:
		w.down = true
		delivery = platformd.ResponseLost
	case rivalCommitsFirst:
		w.applyRival()
		delivery = platformd.Delivered
	}
	return w.CommitWith(ctx, txn, delivery)
}

// applyRival has another operator's change accepted in the midst of a call.
func (w *cluster) applyRival() {
	if w.inRivalCall {
		return
	}
	w.inRivalCall = true
	defer func() { w.inRivalCall = false }()
	s := w.newStore()
	base, err := s.Load(context.Background())
	assert.NilError(w.t, err)
	w.apply(base, func(next *Manifest) (*Manifest, error) {
		u, err := s.Apply(context.Background(), "rival", base.Version, next)
		return u.Manifest, err
	})
}

// apply makes a change of its own to base and checks what it is told.
func (w *cluster) apply(base *Manifest, do func(*Manifest) (*Manifest, error)) {
	w.changes++
	weight := float64(w.changes)
	name := fmt.Sprintf("team-%d", w.changes%5)
	sections := []Section{teamSection(Team{Name: name, Weight: weight})}
	if w.changes%4 == 0 { // too large for rows
		sections = append(sections, teamSection(Team{Name: "team-large", Weight: weight}))
	}
	next := base.withSections(0, sections)
	if w.changes%7 == 0 && len(next.Teams) > 1 {
		next.Teams = slices.Delete(next.Teams, 0, 1)
	}
	got, err := do(next)
	if err != nil {
		if verdict.FromError(err).Verdict == verdict.NotRun {
			w.rejected[weight] = true
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

func (w *cluster) newStore() *Store {
	s := NewStore(w)
	s.maxSectionRows = 1
	return s
}

func (w *cluster) start(name string) *process {
	p := &process{name: name}
	p.rollout = NewRollout(RolloutConfig{Store: w.newStore(), Peers: &clusterPeers{w, name}})
	p.rollout.Subscribe(func(m *Manifest) {
		assert.Assert(w.t, m.Version > p.last, "%s went from version %d to %d", name, p.last, m.Version)
		p.last = m.Version
		if known := w.accepted[m.Version]; known != nil {
			assert.DeepEqual(w.t, m, known)
		}
		w.accepted[m.Version] = m
		for _, team := range m.Teams {
			assert.Assert(w.t, !w.rejected[team.Weight], "version %d holds a refused change", m.Version)
		}
	})
	return p
}

type clusterPeers struct {
	cluster *cluster
	from    string
}

func (l *clusterPeers) Broadcast(m wire.Message) {
	for _, p := range l.cluster.procs {
		if p.name != l.from {
			l.Send(p.name, m)
		}
	}
}

func (l *clusterPeers) Send(to string, m wire.Message) {
	l.cluster.inFlight = append(l.cluster.inFlight, envelope{l.from, to, m})
}

// deliver hands over one message, out of order.
func (w *cluster) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message")
	e := w.inFlight[i]
	if rapid.IntRange(0, 3).Draw(w.t, "duplicate") > 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	for _, p := range w.procs {
		if p.name == e.to {
			assert.NilError(w.t, p.rollout.Handle(e.from, e.msg))
		}
	}
}

func (w *cluster) step() {
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
		w.inFlight = nil
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

// linkAll joins each pair of processes.
func (w *cluster) linkAll() {
	for _, p := range w.procs {
		for _, q := range w.procs {
			if p != q {
				p.rollout.LinkUp(q.name)
			}
		}
	}
	w.deliverAll()
}

// pollInOutage has each process poll twice, since what it asks for may be
// overtaken by what it is told.
func (w *cluster) pollInOutage() {
	for range 2 {
		for _, p := range w.procs {
			assert.ErrorIs(w.t, p.rollout.Poll(context.Background()), platform.ErrUnavailable)
		}
		w.deliverAll()
	}
}

// deliverAll delivers all messages in flight and those that they cause.
func (w *cluster) deliverAll() {
	for n := 0; len(w.inFlight) > 0; n++ {
		assert.Assert(w.t, n < 10_000, "messages without end")
		w.deliver()
	}
}

// TestRolloutIsMonotonicAndKeepsAcceptedVersions drives racing operators through lost
// and late answers, outages, restarts, and loss, duplication and reordering of
// pushes.
func TestRolloutIsMonotonicAndKeepsAcceptedVersions(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{LossyStore: &platformd.LossyStore{Store: platformd.NewStore()}, t: t, accepted: map[uint64]*Manifest{}, rejected: map[float64]bool{}}
		w.SetFaults(platformd.Faults{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			w.procs = append(w.procs, w.start(name))
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.step()
		}

		// An outage with whole links: all come to the highest version held.
		w.down, w.cancel = true, nil
		w.inFlight = nil
		w.procs[0] = w.start(w.procs[0].name)
		var highest uint64
		for _, p := range w.procs {
			highest = max(highest, p.rollout.Current().version())
		}
		if rapid.Bool().Draw(t, "links come up") {
			w.linkAll()
		} else {
			w.pollInOutage()
		}
		for _, p := range w.procs {
			assert.Equal(t, p.rollout.Current().version(), highest, p.name)
		}

		// With faults over, all hold the table's version.
		w.down, w.inRivalCall = false, true
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
