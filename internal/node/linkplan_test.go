package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
)

// viewOf returns the view of the first entry of a deployment with a number of entries in
// each of several data centres.
func viewOf(dcs, perDC int) linkView {
	v := linkView{members: map[string]fleet.Member{}, leaders: map[string]bool{}, linked: map[string]bool{}}
	for d := range dcs {
		for i := range perDC {
			m := fleet.Member{Name: fmt.Sprintf("e-%d-%d", d, i), DC: fmt.Sprintf("dc-%d", d), Addr: "127.0.0.1:1"}
			v.members[m.Name] = m
		}
	}
	v.self = v.members["e-0-0"]
	return v
}

func countIn(plan map[string]bool, v linkView) map[string]int {
	n := map[string]int{}
	for name := range plan {
		n[v.members[name].DC]++
	}
	return n
}

func TestFewEntriesAllLinkToEachOther(t *testing.T) {
	v := viewOf(3, 5)
	plan, _ := planLinks(v)
	assert.Equal(t, len(plan), 14)
}

// In a deployment of a hundred entries that all linked to each other, the links alone took
// a quarter of a small VM's processor time.
func TestManyEntriesLinkToTheirDataCentreAndAFewOthers(t *testing.T) {
	v := viewOf(5, 20)
	plan, incomplete := planLinks(v)
	assert.DeepEqual(t, countIn(plan, v), map[string]int{"dc-0": 19, "dc-1": dcContacts, "dc-2": dcContacts, "dc-3": dcContacts, "dc-4": dcContacts})
	assert.Assert(t, incomplete)
	v.leaders["e-1-3"], v.leaders["e-1-7"] = true, true
	for name := range plan {
		v.linked[name] = true
	}
	v.linked["e-1-3"], v.linked["e-1-7"] = true, true
	plan, incomplete = planLinks(v)
	assert.Assert(t, plan["e-1-3"] && plan["e-1-7"] && !incomplete)
	assert.Equal(t, countIn(plan, v)["dc-1"], 2, "linked leaders serve as contacts")
}

func TestLeaderLinksToAllEntries(t *testing.T) {
	v := viewOf(5, 20)
	v.leads = true
	plan, _ := planLinks(v)
	assert.Equal(t, len(plan), 99)
}

// The leader of a data centre that is cut off serves as a contact only while it is linked.
func TestLeaderWithoutLinkIsNoContact(t *testing.T) {
	v := viewOf(3, 10)
	v.leaders["e-1-3"] = true
	plan, _ := planLinks(v)
	assert.Equal(t, countIn(plan, v)["dc-1"], 1+dcContacts)
}

// Contacts that do not link are replaced, until all entries of a data centre were tried.
func TestContactsThatDoNotLinkAreReplaced(t *testing.T) {
	v := viewOf(2, 20)
	tried := map[string]bool{}
	for v.attempt = range 200 {
		plan, incomplete := planLinks(v)
		assert.Assert(t, incomplete)
		for name := range plan {
			if v.members[name].DC == "dc-1" {
				tried[name] = true
			}
		}
	}
	assert.Equal(t, len(tried), 20)
}

func TestLinkIsKeptForAWhileAfterItIsLastNeeded(t *testing.T) {
	v := viewOf(2, 10)
	p := linkPlanner{wantedAt: map[string]time.Duration{}}
	assert.Assert(t, p.update(time.Second, map[string]bool{"e-1-1": true, "e-1-2": true}, v.members))
	assert.Assert(t, !p.update(time.Second+linkLinger, map[string]bool{"e-1-2": true}, v.members))
	assert.Assert(t, p.update(time.Second+linkLinger+time.Millisecond, map[string]bool{"e-1-2": true}, v.members))
	delete(v.members, "e-1-2")
	assert.Assert(t, p.update(time.Minute, map[string]bool{}, v.members))
	assert.Equal(t, len(p.wantedAt), 0)
}

// Whatever an entry knows, it links to its own data centre in full and has a way to hear of
// every other one.
func TestPlanReachesEveryDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(rapid.IntRange(1, 6).Draw(t, "dcs"), rapid.IntRange(1, 30).Draw(t, "perDC"))
		for name := range v.members {
			v.leaders[name] = rapid.IntRange(0, 9).Draw(t, "leader") == 0
			v.linked[name] = rapid.Bool().Draw(t, "linked")
		}
		plan, _ := planLinks(v)
		linkedIn, n := map[string]int{}, countIn(plan, v)
		for name := range plan {
			assert.Assert(t, name != v.self.Name)
			if v.linked[name] {
				linkedIn[v.members[name].DC]++
			}
		}
		for name, m := range v.members {
			assert.Assert(t, plan[name] || m.DC != v.self.DC || name == v.self.Name)
			if m.DC != v.self.DC {
				assert.Assert(t, n[m.DC] >= min(dcContacts, len(v.members)) || n[m.DC] == countDC(v, m.DC))
			}
		}
	})
}

func countDC(v linkView, dc string) int {
	n := 0
	for _, m := range v.members {
		if m.DC == dc {
			n++
		}
	}
	return n
}

// An entry that started again while the store turned it away had read the configuration but
// not the members. It led without a single link, and took the targets from their owner.
func TestNewEntryThatKnowsNoMembersListensOn(t *testing.T) {
	assert.Assert(t, listensOn(320*time.Millisecond, false, 0, 0))
	assert.Assert(t, listensOn(320*time.Millisecond, true, 0, 6))
	assert.Assert(t, !listensOn(320*time.Millisecond, true, 3, 6))
	assert.Assert(t, !listensOn(320*time.Millisecond, true, 0, 0), "the only entry")
	assert.Assert(t, !listensOn(maxListenPeriod, false, 0, 0), "not for ever")
}
