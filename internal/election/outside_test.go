package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newDataCentres returns the elections of the pool of data centre "a", with a number of
// entries in each of the data centres, named by the first letter.
func newDataCentres(entries ...string) *cluster {
	c := &cluster{entries: map[string]*Election{}, cutLinks: map[[2]string]bool{}}
	for i, name := range entries {
		e := New(Settings{ListenPeriod: DefaultListenPeriod, RankDelay: DefaultRankDelay, DC: "a"}, name, uint64(i+1), 0)
		e.SetEntry(Entry{Joined: uint64(i + 1), MilliCPU: 192, DC: name[:1]})
		c.entries[name] = e
	}
	return c
}

// remove ends an entry.
func (c *cluster) remove(name string) {
	delete(c.entries, name)
	for _, e := range c.entries {
		e.RemovePeer(name)
	}
}

// An entry of another data centre that is not linked to the new leader must not lead too.
func TestEntryOutsideLeavesTheSuccessionToTheDataCentre(t *testing.T) {
	c := newDataCentres("a0", "a1", "a2", "b0")
	assert.Equal(t, c.run(time.Second)["b0"].Leader, "a0")
	c.cutLink("b0", "a1")
	c.cutLink("b0", "a2")
	c.remove("a0")
	for range 60 {
		got := c.run(20 * time.Millisecond)
		assert.Assert(t, !got["b0"].Leading)
	}
	assert.Assert(t, c.run(20 * time.Millisecond)["a1"].Leading)
}

// Targets of a data centre without entries are still used.
func TestEntryOutsideLeadsIfTheDataCentreHasNone(t *testing.T) {
	c := newDataCentres("a0", "b0", "b1")
	c.run(time.Second)
	c.remove("a0")
	got := c.run(2 * outsideDelay)
	assert.Equal(t, countLeaders(got), 1, "%v", got)
}

// Entries that are linked to different peers agree on the successor that a stopping leader
// names, so that only one of them sends orders.
func TestStoppingLeaderNamesItsSuccessor(t *testing.T) {
	c := newDataCentres("a0", "a1", "a2", "a3")
	c.run(time.Second)
	c.cutLink("a1", "a2") // a2 would be next in its own view
	stopping := c.entries["a0"].Heartbeat().Entry
	stopping.Stopping = true
	c.entries["a0"].SetEntry(stopping)
	for range 9 { // less than DefaultRankDelay
		assert.Assert(t, countLeaders(c.run(20*time.Millisecond)) <= 1)
	}
	got := c.run(20 * time.Millisecond)
	assert.Equal(t, countLeaders(got), 1, "%v", got)
}

// A successor that is gone does not keep the pool without a leader.
func TestLostSuccessorIsReplaced(t *testing.T) {
	c := newDataCentres("a0", "a1", "a2")
	c.run(time.Second)
	stopping := c.entries["a0"].Heartbeat().Entry
	stopping.Stopping = true
	c.entries["a0"].SetEntry(stopping)
	c.entries["a0"].Decide(c.now)
	named := c.entries["a0"].Heartbeat().Successor
	assert.Assert(t, named != "")
	c.remove(named)
	got := c.run(time.Second)
	assert.Equal(t, countLeaders(got), 1, "%v", got)
}
