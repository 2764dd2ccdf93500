package election

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// group is a set of entries with links between some of them.
type group struct {
	now  time.Duration
	all  map[string]*Election
	cuts map[[2]string]bool
}

func newGroup(n int) *group {
	g := &group{all: map[string]*Election{}, cuts: map[[2]string]bool{}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		g.all[name] = New(Settings{Quiet: DefaultQuiet, Step: DefaultStep}, name, uint64(i+1), 0)
	}
	return g
}

func (g *group) cut(a, b string) {
	g.cuts[[2]string{a, b}], g.cuts[[2]string{b, a}] = true, true
	g.all[a].Lost(b)
	g.all[b].Lost(a)
}

// run passes beats for a while and returns whom each entry follows.
func (g *group) run(d time.Duration) map[string]Decision {
	got := map[string]Decision{}
	for end := g.now + d; g.now < end; g.now += 20 * time.Millisecond {
		for from, e := range g.all {
			for to, o := range g.all {
				if from != to && !g.cuts[[2]string{from, to}] {
					o.Hear(from, e.Own())
				}
			}
		}
		for name, e := range g.all {
			got[name] = e.Decide(g.now)
		}
	}
	return got
}

func leaders(got map[string]Decision) int {
	n := 0
	for _, d := range got {
		if d.Lead {
			n++
		}
	}
	return n
}

func TestOneLeadsAfterAllStartTogether(t *testing.T) {
	g := newGroup(7)
	for range 150 {
		assert.Assert(t, leaders(g.run(20*time.Millisecond)) <= 1)
	}
	assert.Equal(t, g.run(time.Second)["e6"].Leader, "e0")
}

func TestNextLeadsAfterTheLeaderIsLost(t *testing.T) {
	g := newGroup(4)
	g.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		g.cut("e0", o)
	}
	got := g.run(100 * time.Millisecond)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, got["e0"].Lead, "what is cut off serves what it can")
}

func TestStrongerLeaderStaysWhenTwoMeet(t *testing.T) {
	g := newGroup(4)
	g.run(3 * time.Second)
	for _, o := range []string{"e1", "e2", "e3"} {
		g.cut("e0", o)
	}
	g.run(time.Second)
	g.all["e0"].SetOwned(7)
	g.all["e1"].SetOwned(41)
	clear(g.cuts)
	got := g.run(time.Second)
	assert.Equal(t, leaders(got), 1)
	assert.Equal(t, got["e0"].Leader, "e1")
}

func TestEntryOutOfReachOfTheLeaderFollowsThroughAPeer(t *testing.T) {
	g := newGroup(3)
	g.run(3 * time.Second)
	g.cut("e0", "e2")
	got := g.run(time.Second)
	assert.Equal(t, got["e2"].Leader, "e1")
	assert.Assert(t, !got["e2"].Lead && !got["e1"].Lead)
}

func TestStoppingOrStrainedLeaderGivesWay(t *testing.T) {
	g := newGroup(3)
	g.run(3 * time.Second)
	g.all["e0"].SetStopping()
	got := g.run(time.Second)
	assert.Equal(t, got["e0"].Leader, "e1")
	g.all["e1"].SetStrained(true)
	got = g.run(2 * time.Second)
	assert.Assert(t, got["e2"].Lead)
}

// Entries that are replaced one after the other overlap: behind a cut all that
// is left may be stopping.
func TestStoppingEntriesServeIfNoOtherIsLeft(t *testing.T) {
	g := newGroup(2)
	g.run(3 * time.Second)
	g.all["e0"].SetStopping()
	g.all["e1"].SetStopping()
	got := g.run(2 * time.Second)
	assert.Equal(t, leaders(got), 1)
	assert.Assert(t, got["e1"].Leader != "")
}
