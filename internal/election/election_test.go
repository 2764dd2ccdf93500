package election

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cluster is a set of entries that are linked to each other, except for the
// links that were cut.
type cluster struct {
	now      time.Duration
	entries  map[string]*Election
	cutLinks map[[2]string]bool
}

func newCluster(n int) *cluster {
	c := &cluster{entries: map[string]*Election{}, cutLinks: map[[2]string]bool{}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		c.entries[name] = New(Settings{ListenPeriod: DefaultListenPeriod, RankDelay: DefaultRankDelay}, name, uint64(i+1), 0)
	}
	return c
}

func (c *cluster) cutLink(a, b string) {
	c.cutLinks[[2]string{a, b}], c.cutLinks[[2]string{b, a}] = true, true
	c.entries[a].RemovePeer(b)
	c.entries[b].RemovePeer(a)
}

// run exchanges heartbeats every 20 ms for a time and returns the last decision
// of each entry.
func (c *cluster) run(d time.Duration) map[string]Decision {
	got := map[string]Decision{}
	for end := c.now + d; c.now < end; c.now += 20 * time.Millisecond {
		for from, e := range c.entries {
			for to, o := range c.entries {
				if from != to && !c.cutLinks[[2]string{from, to}] {
					o.Observe(from, e.Heartbeat())
				}
			}
		}
		for name, e := range c.entries {
			got[name] = e.Decide(c.now)
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
	c := newCluster(7)
	for range 150 {
		assert.Assert(t, countLeaders(c.run(20*time.Millisecond)) <= 1)
	}
	assert.Equal(t, c.run(time.Second)["e6"].Leader, "e0")
}

func TestOldestPeerLeadsAfterLeaderIsLost(t *testing.T) {
	c := newCluster(4)
	c.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		c.cutLink("e0", o)
	}
	got := c.run(100 * time.Millisecond)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, got["e0"].Leading, "an entry that is cut off from all peers must lead itself")
}

func TestLeaderWithMoreTargetsWinsAfterPartitionHeals(t *testing.T) {
	c := newCluster(4)
	c.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		c.cutLink("e0", o)
	}
	c.run(time.Second)
	c.entries["e0"].SetOwned(7)
	c.entries["e1"].SetOwned(41)
	clear(c.cutLinks)
	got := c.run(time.Second)
	assert.Equal(t, countLeaders(got), 1)
	assert.Equal(t, got["e0"].Leader, "e1")
}

func TestEntryWithoutLinkToLeaderFollowsRelay(t *testing.T) {
	c := newCluster(3)
	c.run(3 * time.Second)
	c.cutLink("e0", "e2")
	got := c.run(time.Second)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, !got["e2"].Leading && !got["e1"].Leading)
}

func TestStoppingOrDegradedLeaderIsReplaced(t *testing.T) {
	c := newCluster(3)
	c.run(3 * time.Second)
	c.entries["e0"].SetEntry(Entry{Joined: 1, Stopping: true})
	got := c.run(time.Second)
	assert.Equal(t, got["e0"].Leader, "e1")
	c.entries["e1"].SetEntry(Entry{Joined: 2, Degraded: true})
	got = c.run(2 * time.Second)
	assert.Assert(t, got["e2"].Leading)
}

// A rolling replacement can leave only stopping entries on one side of a
// network partition; one of them has to lead.
func TestStoppingEntryLeadsIfAllAreStopping(t *testing.T) {
	c := newCluster(2)
	c.run(3 * time.Second)
	c.entries["e0"].SetEntry(Entry{Joined: 1, Stopping: true})
	c.entries["e1"].SetEntry(Entry{Joined: 2, Stopping: true})
	got := c.run(2 * time.Second)
	assert.Equal(t, countLeaders(got), 1)
	assert.Assert(t, got["e1"].Leader != "")
}

// Entries that follow each other in a circle would have no leader for as long as the links
// between them are missing.
func TestCircleOfRelaysWithoutLeaderIsLeft(t *testing.T) {
	c := newCluster(4)
	c.cutLink("e0", "e2")
	c.cutLink("e1", "e3")
	c.now = time.Minute
	for name, next := range map[string]string{"e0": "e1", "e1": "e2", "e2": "e3", "e3": "e0"} {
		e := c.entries[name]
		e.heartbeat.Claim, e.leaderless = Claim{Leader: next, Term: 1}, true
	}
	got := c.run(5 * time.Second)
	assert.Assert(t, countLeaders(got) > 0, "%v", got)
	for name, d := range got {
		assert.Assert(t, d.Leader != "", "%s follows no leader", name)
	}
}
