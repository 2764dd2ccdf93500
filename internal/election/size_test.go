package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newPools returns a cluster for each pool, of the same entries with the given sizes in
// thousandths of a core.
func newPools(pools int, sizes ...int64) []*cluster {
	cs := make([]*cluster, pools)
	for i := range cs {
		cs[i] = newCluster(len(sizes))
		for k, size := range sizes {
			name := entryName(k)
			e := New(Settings{ListenPeriod: DefaultListenPeriod, RankDelay: DefaultRankDelay, Pool: i}, name, uint64(k+1), 0)
			e.SetEntry(Entry{Joined: uint64(k + 1), MilliCPU: size})
			cs[i].entries[name] = e
		}
	}
	return cs
}

func entryName(k int) string { return "e" + string(rune('0'+k)) }

// runPools runs the elections of all pools side by side and returns the leaders.
func runPools(cs []*cluster, d time.Duration) []string {
	leaders := make([]string, len(cs))
	for range d / (20 * time.Millisecond) {
		leads := map[string]int{}
		for i, c := range cs {
			for name, decision := range c.run(20 * time.Millisecond) {
				if decision.Leading {
					leads[name]++
					leaders[i] = name
				}
			}
		}
		for _, c := range cs {
			for name, e := range c.entries {
				entry := e.Heartbeat().Entry
				entry.Leads = leads[name]
				e.SetEntry(entry)
			}
		}
	}
	return leaders
}

func TestPoolsAreLedByDifferentLargeEntries(t *testing.T) {
	leaders := runPools(newPools(3, 192, 192, 800, 192, 800, 800), 2*time.Second)
	seen := map[string]bool{}
	for _, l := range leaders {
		assert.Assert(t, l == "e2" || l == "e4" || l == "e5", "%v", leaders)
		seen[l] = true
	}
	assert.Equal(t, len(seen), 3, "%v", leaders)
}

func TestLeaderYieldsToMuchLargerEntry(t *testing.T) {
	c := newPools(1, 192, 192)[0]
	assert.Equal(t, c.run(2 * time.Second)["e1"].Leader, "e0")
	large := New(Settings{ListenPeriod: DefaultListenPeriod, RankDelay: DefaultRankDelay}, "e2", 3, c.now)
	large.SetEntry(Entry{Joined: 3, MilliCPU: 800})
	c.entries["e2"] = large
	for range 200 {
		assert.Assert(t, countLeaders(c.run(20*time.Millisecond)) <= 1)
	}
	assert.Equal(t, c.run(20 * time.Millisecond)["e0"].Leader, "e2")
}

// Yielding interrupts the pool, so an equal entry is no reason for it.
func TestLeaderDoesNotYieldToEqualEntry(t *testing.T) {
	c := newPools(1, 800, 800)[0]
	c.run(2 * time.Second)
	got := c.run(10 * time.Second)
	assert.Equal(t, got["e1"].Leader, "e0")
	assert.Equal(t, got["e0"].Term, uint64(1))
}

func TestLeadCostsMoreInAnotherDataCentre(t *testing.T) {
	near, far := Heartbeat{Entry: Entry{MilliCPU: 800, DC: "a"}}, Heartbeat{Entry: Entry{MilliCPU: 800, DC: "b"}}
	assert.Assert(t, near.leadCost("a") < far.leadCost("a"))
	assert.Equal(t, near.leadCost(""), far.leadCost(""))
}

// The leader of a pool whose targets are on the other side of a partition has none. When
// it links to an entry there that follows another leader, it follows that one too.
func TestLeaderWithoutTargetsFollowsThePeersLeader(t *testing.T) {
	c := newCluster(3)
	c.run(3 * time.Second) // e0 leads
	c.cutLink("e0", "e1")
	c.cutLink("e0", "e2")
	c.run(2 * time.Second) // e1 leads e2
	c.entries["e1"].SetOwned(20)
	delete(c.cutLinks, [2]string{"e0", "e2"})
	delete(c.cutLinks, [2]string{"e2", "e0"})
	got := c.run(time.Second)
	assert.Equal(t, got["e0"].Leader, "e2", "e2 relays to e1")
	assert.Assert(t, got["e1"].Leading && got["e2"].Leader == "e1")
}
