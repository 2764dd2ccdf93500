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

// The stopping leader heard of its successor's lead before another entry did, and withdrew
// the name. That entry led too, and both took the targets from each other.
func TestSuccessorsLeadIsAwaitedByEntriesThatHearOfItLast(t *testing.T) {
	c := newDataCentres("a0", "a3", "a2", "a1")
	c.run(time.Second)
	leader := c.entries["a0"]
	stopping := leader.Heartbeat().Entry
	stopping.Stopping = true
	leader.SetEntry(stopping)
	leader.Decide(c.now)
	named := leader.Heartbeat().Successor
	tell := func(from, to string) { c.entries[to].Observe(from, c.entries[from].Heartbeat()) }
	tell("a0", named)
	assert.Assert(t, c.entries[named].Decide(c.now).Leading)
	tell(named, "a0")
	assert.Equal(t, leader.Decide(c.now).Leader, named)
	for name, e := range c.entries {
		if name != "a0" && name != named {
			tell("a0", name)
			assert.Assert(t, !e.Decide(c.now+10*time.Millisecond).Leading, "%s leads beside %s", name, named)
		}
	}
}

// The name of a successor must not delay a later succession.
func TestNameOfASuccessorIsForgotten(t *testing.T) {
	c := newDataCentres("a0", "a1", "a2", "a3")
	c.run(time.Second)
	stopping := c.entries["a0"].Heartbeat().Entry
	stopping.Stopping = true
	c.entries["a0"].SetEntry(stopping)
	got := c.run(2 * successorMemory)
	second := got["a0"].Leader
	assert.Assert(t, got[second].Leading)
	assert.Equal(t, c.entries["a0"].Heartbeat().Successor, "")
}
