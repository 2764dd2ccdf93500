package ledger

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
)

// searchWalks is the default number of random walks through each case, which go deeper than
// the search of all interleavings.
const searchWalks = 4000

var walksFlag = flag.Int("search.walks", searchWalks, "number of random walks through each case of TestSearch")

var searchDepth = flag.Int("search.depth", 0, "number of steps up to which TestSearch explores all interleavings, 0 for that of each case")

// search explores all interleavings of a case by breadth first, up to a number of steps. It
// returns the shortest sequence that violates a property, and the number of states.
func (c *searchCase) search(depth int) (failure string, states int) {
	names := []string{"vm0", "vm1", "vm2"}
	k := searchKey(names)
	replay := func(path []searchStep) *searchState {
		s := newSearchState(c, k, names)
		for _, t := range path {
			s.apply(t)
		}
		return s
	}
	seen := make(map[uint64]bool)
	level := [][]searchStep{nil}
	for range depth {
		var next [][]searchStep
		for _, path := range level {
			for _, t := range replay(path).steps() {
				longer := append(slices.Clone(path), t)
				s := replay(longer)
				if s.failure != "" {
					return fmt.Sprintf("%s: %s", s.failure, describeSteps(longer)), len(seen)
				}
				if f := s.fingerprint(); !seen[f] {
					seen[f] = true
					next = append(next, longer)
				}
			}
		}
		level = next
	}
	return "", len(seen)
}

// walk takes random steps until none is possible, and returns the violated property.
func (c *searchCase) walk(rng *rand.Rand, k key.Key, names []string) string {
	s := newSearchState(c, k, names)
	var path []searchStep
	for s.failure == "" {
		steps := s.steps()
		if len(steps) == 0 {
			return ""
		}
		t := steps[rng.IntN(len(steps))]
		path = append(path, t)
		s.apply(t)
	}
	return fmt.Sprintf("%s: %s", s.failure, describeSteps(path))
}

// firstFailedWalk returns the failure of the first of a number of random walks that has one.
func (c *searchCase) firstFailedWalk(walks int) string {
	names := []string{"vm0", "vm1", "vm2"}
	k, rng := searchKey(names), rand.New(rand.NewPCG(*simSeed, 3))
	for range walks {
		if failure := c.walk(rng, k, names); failure != "" {
			return failure
		}
	}
	return ""
}

func describeSteps(path []searchStep) string {
	var b strings.Builder
	for _, t := range path {
		fmt.Fprintf(&b, "%c%d ", t.kind, t.arg)
	}
	return b.String()
}

// TestSearch explores all orders in which the messages of a claim arrive, get lost or
// arrive twice: a key is started at most once, no copy is told not_run after a start, and
// none that was received before a not_run is started later.
func TestSearch(t *testing.T) {
	for _, c := range searchCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			depth := c.depth
			if *searchDepth > 0 {
				depth = *searchDepth
			}
			failure, states := c.search(depth)
			t.Logf("%d states in %d steps", states, depth)
			assert.Equal(t, failure, "")
			assert.Equal(t, c.deeper().firstFailedWalk(*walksFlag), "")
		})
	}
}

// TestSearchFindsMissingSafeguards disables single safeguards and requires that a walk finds
// a violation without each of them.
func TestSearchFindsMissingSafeguards(t *testing.T) {
	for _, m := range []struct {
		name     string
		inCase   string
		disabled disabledSafeguards
	}{
		{"refusal mark", "copies at two entries", disabledSafeguards{refusalMark: true}},
		{"record at the backup", "loss of the home as holder", disabledSafeguards{backupRecord: true}},
		{"handover on a new view", "loss of the home", disabledSafeguards{handover: true}},
	} {
		all := searchCases()
		c := all[slices.IndexFunc(all, func(c searchCase) bool { return c.name == m.inCase })]
		c.disabled = m.disabled
		found := c.deeper().firstFailedWalk(10 * searchWalks)
		assert.Assert(t, found != "", "no walk fails without the %s", m.name)
		t.Logf("%s: %s", m.name, found)
	}
}

// deeper returns the case with more steps of the clock, for walks.
func (c searchCase) deeper() *searchCase {
	c.ticks, c.repeats = 12, 2
	return &c
}

func searchCases() []searchCase {
	return []searchCase{
		{name: "copies at two entries", submits: []int{2, 1}, ticks: 4, repeats: 1, depth: 7},
		{name: "copies at the home and elsewhere", submits: []int{0, 2}, ticks: 4, repeats: 1, depth: 7},
		{name: "two copies at one entry", submits: []int{2, 2}, ticks: 4, repeats: 1, depth: 7},
		{name: "a copy and a refusal", submits: []int{2}, refuses: []int{1}, ticks: 4, repeats: 1, depth: 7},
		{name: "a copy at the home and a refusal", submits: []int{0}, refuses: []int{2}, ticks: 4, repeats: 1, depth: 7},
		{name: "loss of the home", submits: []int{2, 1}, ticks: 5, kills: true, killed: 0, depth: 7},
		{name: "loss of the backup", submits: []int{0, 2}, ticks: 5, kills: true, killed: 1, depth: 7},
		{name: "loss of a holder", submits: []int{2, 1}, ticks: 5, kills: true, killed: 2, depth: 7},
		{name: "loss of the home as holder", submits: []int{0, 2}, ticks: 5, kills: true, killed: 0, depth: 7},
		{name: "loss of the home and a refusal", submits: []int{2}, refuses: []int{1}, ticks: 5, kills: true, killed: 0, depth: 7},
	}
}
