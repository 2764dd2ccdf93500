package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
)

// mutationCases bounds the search for a case that fails without a safeguard.
const mutationCases = 3000

// TestMutations disables one safeguard at a time and requires that the property
// of TestClaims fails.
func TestMutations(t *testing.T) {
	for _, m := range []struct {
		name       string
		disabled   disabledSafeguards
		noReadBack bool
		kinds      []uint64 // of operations; nil for all
	}{
		{name: "lease check", disabled: disabledSafeguards{leaseCheck: true}},
		{name: "lease check of a refusal", disabled: disabledSafeguards{refusalProof: true}},
		{name: "record at the backup", disabled: disabledSafeguards{backupRecord: true}},
		{name: "handover on a new view", disabled: disabledSafeguards{handover: true}},
		{name: "refusal mark", disabled: disabledSafeguards{refusalMark: true}},
		{name: "read-back after a lost response", noReadBack: true, kinds: []uint64{0, 10, 30, 44, 56, 57}},
	} {
		t.Run(m.name, func(t *testing.T) {
			seed, failure := firstFailure(m.disabled, m.noReadBack, m.kinds)
			assert.Assert(t, failure != "", "no case of %d fails without the %s", mutationCases, m.name)
			t.Log(failure)
			assert.Equal(t, runCase(seed, disabledSafeguards{}, false, m.kinds), "", "the case fails with all safeguards too")
		})
	}
}

// firstFailure runs random scripts until one violates a property.
func firstFailure(disabled disabledSafeguards, noReadBack bool, kinds []uint64) (seed uint64, failure string) {
	for i := range uint64(mutationCases) {
		seed = *simSeed + i
		failure = runCase(seed, disabled, noReadBack, kinds)
		if failure != "" {
			break
		}
	}
	return seed, failure
}

// runCase runs the script of a seed and returns the violated property, or an
// empty string.
func runCase(seed uint64, disabled disabledSafeguards, noReadBack bool, kinds []uint64) string {
	w := newWorld(seed, 3+int(seed%3))
	w.disabled = disabled
	w.noReadBack = noReadBack
	w.loss = float64(seed%3) * 0.05
	script := make([]uint64, 40)
	for i := range script {
		script[i] = w.rng.Uint64()
		if kinds != nil {
			script[i] -= script[i] % 64
			script[i] += kinds[w.rng.IntN(len(kinds))]
		}
	}
	w.runScript(script)
	w.endFaults()
	w.advance(recovery)
	return w.failure
}
