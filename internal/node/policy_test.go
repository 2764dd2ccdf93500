package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// partitioned returns three members and twenty targets in each of the data centres a, b
// and c, as seen by a leader that reaches the members for which reach returns true.
func partitioned(reach func(name, dc string) bool) ([]liveMember, []fleet.Target) {
	var live []liveMember
	var targets []fleet.Target
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", dc, i)
			live = append(live, liveMember{name, dc, reach(name, dc)})
		}
		for i := range 20 {
			targets = append(targets, fleet.Target{ID: fmt.Sprintf("i-%s-%d", dc, i), DC: dc})
		}
	}
	return live, targets
}

// In a data centre that is cut off, targets waited for a leader for 1.5 s if their home was
// an entry on the other side.
func TestCutOffDataCentreAcquiresItsTargetsAtOnce(t *testing.T) {
	live, targets := partitioned(func(_, dc string) bool { return dc == "b" })
	policy := acquirePolicies(live, targets)
	for i := range targets {
		p := policy(targets[i].ID)
		if targets[i].DC == "b" {
			assert.Assert(t, p.Home && p.Delay == 0 && !p.CutOff)
		} else {
			assert.Assert(t, !p.Home && p.Delay == minorityAcquireDelay && p.CutOff)
		}
	}
}

func TestOtherSideLeavesTheTargetsOfACutOffDataCentre(t *testing.T) {
	live, targets := partitioned(func(_, dc string) bool { return dc != "b" })
	policy := acquirePolicies(live, targets)
	for i := range targets {
		p := policy(targets[i].ID)
		if targets[i].DC == "b" {
			assert.Assert(t, p.CutOff && p.Delay == minorityAcquireDelay)
		} else {
			assert.Assert(t, p.Home && p.Delay == 0)
		}
	}
}

func TestLoneEntryAcquiresOnlyItsShareAtOnce(t *testing.T) {
	live, targets := partitioned(func(name, _ string) bool { return name == "a-1" })
	policy := acquirePolicies(live, targets)
	atOnce := 0
	for i := range targets {
		if policy(targets[i].ID).Delay == 0 {
			assert.Equal(t, targets[i].DC, "a")
			atOnce++
		}
	}
	assert.Assert(t, atOnce > 0 && atOnce < 15, "%d of the 20 targets of its data centre", atOnce)
}

// A leader that reaches most members takes over the targets of a member that is lost.
func TestMajorityAcquiresTheTargetsOfALostEntryAtOnce(t *testing.T) {
	live, targets := partitioned(func(name, _ string) bool { return name != "c-0" })
	policy := acquirePolicies(live, targets)
	for i := range targets {
		p := policy(targets[i].ID)
		assert.Assert(t, p.Delay == 0 && !p.CutOff)
	}
}
