package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// mutationCases bounds the search for a case that fails without a safeguard.
const mutationCases = 3000

// TestMutations removes one safeguard at a time and demands that TestClaims'
// property fails.
func TestMutations(t *testing.T) {
	for _, m := range []struct {
		name       string
		hooks      without
		noReadBack bool
	}{
		{name: "lease check", hooks: without{lease: true}},
		{name: "record at the second choice", hooks: without{secondCopy: true}},
		{name: "re-send on a new view", hooks: without{resend: true}},
		{name: "refusal mark", hooks: without{mark: true}},
		{name: "read-back after a lost answer", noReadBack: true},
	} {
		t.Run(m.name, func(t *testing.T) {
			failure := firstFailure(m.hooks, m.noReadBack)
			t.Log(failure)
			assert.Assert(t, failure != "", "no case of %d fails without the %s", mutationCases, m.name)
		})
	}
}

// firstFailure searches random scripts for one that breaks a property.
func firstFailure(h without, noReadBack bool) string {
	for seed := range uint64(mutationCases) {
		w := newWorld(*simSeed+seed, 3+int(seed%3))
		w.hooks = h
		w.noReadBack = noReadBack
		w.loss = float64(seed%3) * 0.05
		script := make([]uint64, 40)
		for i := range script {
			script[i] = w.rng.Uint64()
		}
		w.scenario(script)
		w.endFaults()
		w.advance(recovery)
		if w.failure != "" {
			return w.failure
		}
	}
	return ""
}
