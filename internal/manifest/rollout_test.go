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

// Deliveries of a commit besides those of platformd.
const (
	outageAfterCommit = platformd.FirstCustomDelivery + iota
	rivalCommitsFirst // another operator's change is accepted first
)

var deliveries = []platformd.Delivery{
	platformd.Delivered, platformd.ResponseLost, outageAfterCommit,
	platformd.RequestLost, platformd.RequestDelayed, rivalCommitsFirst,
}

// process is one incarnation of an entry.
type process struct {
	name    string
	rollout *Rollout
	last    uint64 // highest version adopted
}

type envelope struct {
	from, to string
	msg      wire.Message
}

// cluster is the state of the property test: a platform with faults, some entries
// and the messages in flight between them.
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
	rejected    map[float64]bool // team weights of the changes that were reported as not accepted
}

func (c *cluster) blocked() error {
	if !c.down {
		return nil
	}
	if c.cancel != nil {
		c.cancel() // end a call instead of waiting for the end of the outage
	}
	return platform.ErrUnavailable
}

func (c *cluster) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := c.blocked(); err != nil {
		return platform.Row{}, err
	}
	if rapid.IntRange(0, 15).Draw(c.t, "rival commits before read") == 0 {
		c.applyRival()
	}
	return c.Store.Get(ctx, key)
}

func (c *cluster) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := c.blocked(); err != nil {
		return nil, err
	}
	return c.Store.Scan(ctx, prefix, after, min(limit, 1000))
}

func (c *cluster) Commit(ctx context.Context, txn platform.Txn) error {
	if err := c.blocked(); err != nil {
		return err
	}
	if c.inRivalCall {
		return c.Store.Commit(ctx, txn)
	}
	delivery := rapid.SampledFrom(deliveries).Draw(c.t, "delivery")
	switch delivery {
	case outageAfterCommit:
		c.down = true
		delivery = platformd.ResponseLost
	case rivalCommitsFirst:
		c.applyRival()
		delivery = platformd.Delivered
	}
	return c.CommitWith(ctx, txn, delivery)
}

// applyRival applies another operator's change in the middle of a call.
func (c *cluster) applyRival() {
	if c.inRivalCall {
		return
	}
	c.inRivalCall = true
	defer func() { c.inRivalCall = false }()
	s := c.newStore()
	base, err := s.Load(context.Background())
	assert.NilError(c.t, err)
	c.apply(base, func(next *Manifest) (*Manifest, error) {
		u, err := s.Apply(context.Background(), "rival", base.Version, next)
		return u.Manifest, err
	})
}

// apply derives a unique change from base, applies it by do, and checks the result
// that do returns.
func (c *cluster) apply(base *Manifest, do func(*Manifest) (*Manifest, error)) {
	c.changes++
	weight := float64(c.changes)
	name := fmt.Sprintf("team-%d", c.changes%5)
	sections := []Section{teamSection(Team{Name: name, Weight: weight})}
	if c.changes%4 == 0 { // above maxSectionRows, so written as an object
		sections = append(sections, teamSection(Team{Name: "team-large", Weight: weight}))
	}
	next := base.withSections(0, sections)
	if c.changes%7 == 0 && len(next.Teams) > 1 {
		next.Teams = slices.Delete(next.Teams, 0, 1)
	}
	got, err := do(next)
	if err != nil {
		if verdict.FromError(err).Verdict == verdict.NotRun {
			c.rejected[weight] = true
		}
		return
	}
	next.Version = base.version()
	if len(Diff(base, next)) > 0 {
		next.Version++
	}
	assert.DeepEqual(c.t, got, next)
	c.accepted[next.Version] = next
}

func (c *cluster) newStore() *Store {
	s := NewStore(c)
	s.maxSectionRows = 1
	return s
}

func (c *cluster) start(name string) *process {
	p := &process{name: name}
	p.rollout = NewRollout(RolloutConfig{Store: c.newStore(), Peers: &clusterPeers{c, name}})
	p.rollout.Subscribe(func(m *Manifest) {
		assert.Assert(c.t, m.Version > p.last, "%s went from version %d to %d", name, p.last, m.Version)
		p.last = m.Version
		if known := c.accepted[m.Version]; known != nil {
			assert.DeepEqual(c.t, m, known)
		}
		c.accepted[m.Version] = m
		for _, team := range m.Teams {
			assert.Assert(c.t, !c.rejected[team.Weight], "version %d contains a refused change", m.Version)
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

// deliver delivers a random message, out of order and possibly more than once.
func (c *cluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, "message")
	e := c.inFlight[i]
	if rapid.IntRange(0, 3).Draw(c.t, "duplicate") > 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	for _, p := range c.procs {
		if p.name == e.to {
			assert.NilError(c.t, p.rollout.Handle(e.from, e.msg))
		}
	}
}

func (c *cluster) step() {
	i := rapid.IntRange(0, len(c.procs)-1).Draw(c.t, "process")
	p := c.procs[i]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.cancel = cancel
	switch rapid.SampledFrom([]string{"apply", "apply", "poll", "deliver", "deliver", "deliver", "drop messages", "start outage", "end outage", "deliver delayed", "restart"}).Draw(c.t, "action") {
	case "apply":
		base := p.rollout.Current()
		c.apply(base, func(next *Manifest) (*Manifest, error) {
			return p.rollout.Apply(ctx, p.name, base.version(), next)
		})
	case "poll":
		_ = p.rollout.Poll(ctx)
	case "deliver":
		c.deliver()
	case "drop messages":
		c.inFlight = nil
	case "start outage":
		c.down = true
	case "end outage":
		c.down = false
	case "deliver delayed":
		c.DeliverDelayed()
	case "restart":
		c.procs[i] = c.start(p.name)
	}
}

// linkAll links each pair of processes and delivers all messages.
func (c *cluster) linkAll() {
	for _, p := range c.procs {
		for _, q := range c.procs {
			if p != q {
				p.rollout.LinkUp(q.name)
			}
		}
	}
	c.deliverAll()
}

// pollInOutage polls twice at each process: the reply to a request may be outdated
// by a later announcement.
func (c *cluster) pollInOutage() {
	for range 2 {
		for _, p := range c.procs {
			assert.ErrorIs(c.t, p.rollout.Poll(context.Background()), platform.ErrUnavailable)
		}
		c.deliverAll()
	}
}

// deliverAll delivers all messages in flight, and the messages sent in response.
func (c *cluster) deliverAll() {
	for n := 0; len(c.inFlight) > 0; n++ {
		assert.Assert(c.t, n < 10_000, "messages never cease")
		c.deliver()
	}
}

// TestRolloutIsMonotonicAndKeepsAcceptedVersions runs concurrent operators through
// lost responses, lost and delayed writes, outages, restarts, and loss,
// duplication and reordering of messages between entries. It checks that no entry
// moves to a lower version, that no accepted version is lost, that no refused
// change is in force, and that all entries converge.
func TestRolloutIsMonotonicAndKeepsAcceptedVersions(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{LossyStore: &platformd.LossyStore{Store: platformd.NewStore()}, t: t, accepted: map[uint64]*Manifest{}, rejected: map[float64]bool{}}
		c.SetFaults(platformd.Faults{})
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			c.procs = append(c.procs, c.start(name))
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			c.step()
		}

		// In an outage with working links, all converge to the highest version held.
		c.down, c.cancel = true, nil
		c.inFlight = nil
		c.procs[0] = c.start(c.procs[0].name)
		var highest uint64
		for _, p := range c.procs {
			highest = max(highest, p.rollout.Current().version())
		}
		if rapid.Bool().Draw(t, "new links") {
			c.linkAll()
		} else {
			c.pollInOutage()
		}
		for _, p := range c.procs {
			assert.Equal(t, p.rollout.Current().version(), highest, p.name)
		}

		// Once the faults end, all hold the version in the table.
		c.down, c.inRivalCall = false, true
		c.DeliverDelayed()
		table, err := NewStore(c).Load(ctx)
		assert.NilError(t, err)
		for v := range c.accepted {
			assert.Assert(t, v <= table.Version, "accepted version %d is lost, the table holds version %d", v, table.Version)
		}
		for _, p := range c.procs {
			assert.NilError(t, p.rollout.Poll(ctx))
			if table.Version > 0 {
				assert.DeepEqual(t, p.rollout.Current(), table)
			}
		}
	})
}
