package election

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cluster is a set of entries with links between some of them.
type cluster struct {
	now      time.Duration
	entries  map[string]*Election
	cutLinks map[[2]string]bool
}

func newCluster(n int) *cluster {
	g := &cluster{entries: map[string]*Election{}, cutLinks: map[[2]string]bool{}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		g.entries[name] = New(Settings{ListenPeriod: DefaultListenPeriod, RankDelay: DefaultRankDelay}, name, uint64(i+1), 0)
	}
	return g
}

func (g *cluster) cutLink(a, b string) {
	g.cutLinks[[2]string{a, b}], g.cutLinks[[2]string{b, a}] = true, true
	g.entries[a].RemovePeer(b)
	g.entries[b].RemovePeer(a)
}

// run passes beats for a while and returns whom each entry follows.
func (g *cluster) run(d time.Duration) map[string]Decision {
	got := map[string]Decision{}
	for end := g.now + d; g.now < end; g.now += 20 * time.Millisecond {
		for from, e := range g.entries {
			for to, o := range g.entries {
				if from != to && !g.cutLinks[[2]string{from, to}] {
					o.Observe(from, e.Heartbeat())
				}
			}
		}
		for name, e := range g.entries {
			got[name] = e.Decide(g.now)
		}
	}
	return got
}

func countLeaders(got map[string]Decision) int {
	n := 0
	for _, d := range got {
		if d.Leading {
			n++
		}
	}
	return n
}

func TestAtMostOneLeaderAfterSimultaneousStart(t *testing.T) {
	g := newCluster(7)
	for range 150 {
		assert.Assert(t, countLeaders(g.run(20*time.Millisecond)) <= 1)
	}
	assert.Equal(t, g.run(time.Second)["e6"].Leader, "e0")
}

func TestOldestPeerLeadsAfterLeaderIsLost(t *testing.T) {
	g := newCluster(4)
	g.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		g.cutLink("e0", o)
	}
	got := g.run(100 * time.Millisecond)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, got["e0"].Leading, "what is cut off serves what it can")
}

func TestLeaderWithMoreTargetsWinsAfterPartitionHeals(t *testing.T) {
	g := newCluster(4)
	g.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		g.cutLink("e0", o)
	}
	g.run(time.Second)
	g.entries["e0"].SetOwned(7)
	g.entries["e1"].SetOwned(41)
	clear(g.cutLinks)
	got := g.run(time.Second)
	assert.Equal(t, countLeaders(got), 1)
	assert.Equal(t, got["e0"].Leader, "e1")
}

func TestEntryWithoutLinkToLeaderFollowsRelay(t *testing.T) {
	g := newCluster(3)
	g.run(3 * time.Second)
	g.cutLink("e0", "e2")
	got := g.run(time.Second)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, !got["e2"].Leading && !got["e1"].Leading)
}

func TestStoppingOrDegradedLeaderIsReplaced(t *testing.T) {
	g := newCluster(3)
	g.run(3 * time.Second)
	g.entries["e0"].SetStopping()
	got := g.run(time.Second)
	assert.Equal(t, got["e0"].Leader, "e1")
	g.entries["e1"].SetDegraded(true)
	got = g.run(2 * time.Second)
	assert.Assert(t, got["e2"].Leading)
}

// Entries that are replaced one after the other overlap: behind a cut all that
// is left may be stopping.
func TestStoppingEntryLeadsIfAllAreStopping(t *testing.T) {
	g := newCluster(2)
	g.run(3 * time.Second)
	g.entries["e0"].SetStopping()
	g.entries["e1"].SetStopping()
	got := g.run(2 * time.Second)
	assert.Equal(t, countLeaders(got), 1)
	assert.Assert(t, got["e1"].Leader != "")
}
