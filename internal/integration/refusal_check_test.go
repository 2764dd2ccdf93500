package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/verdict"
)

// The check of a caller's submissions took the start of a submission that got no
// response for a false not_run of the one before, and missed a false not_run that a
// later submission followed.
func TestNotRunIsCheckedUpToNextSubmission(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	refused := attempt{sentAt: at(1), endedAt: at(1.2), verdict: verdict.NotRun, result: "not_run"}
	unanswered := attempt{sentAt: at(2), endedAt: at(2.1), result: "EOF"}
	mayHaveRun := attempt{sentAt: at(2), endedAt: at(2.1), verdict: verdict.MayHaveRun}
	for _, c := range []struct {
		name     string
		attempts []attempt
		starts   []time.Time
		ok       bool
	}{
		{"no start", []attempt{refused}, nil, true},
		{"start before the refusal", []attempt{refused}, []time.Time{at(1.1)}, false},
		{"start after the refusal", []attempt{refused}, []time.Time{at(3)}, false},
		{"start of a submission without a response", []attempt{refused, unanswered}, []time.Time{at(2.05)}, true},
		{"start before a submission without a response", []attempt{refused, unanswered}, []time.Time{at(1.1)}, false},
		{"start before a later submission", []attempt{refused, mayHaveRun}, []time.Time{at(1.9)}, false},
		{"start before the last of two refusals", []attempt{unanswered, refused}, []time.Time{at(2.05)}, false},
	} {
		o := outcome{key: "k", attempts: c.attempts}
		assert.Equal(t, o.checkRefusals(c.starts) == nil, c.ok, c.name)
	}
}
