package manifest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/rapidtest"
	"currantstall/internal/verdict"
	"currantstall/platform/platformd"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1, 2000) }

const goodYAML = `
kinds:
  - {name: unlock, class: request, urgency: 9, share: 0.5, deadline_ms: 1000, service_ms: 80}
  - {name: dusk, class: job, urgency: 1, share: 0.2}
teams:
  - {name: shore, rate_per_second: 100}
`

func TestYAMLAndJSONDecodeToTheSameCanonicalForm(t *testing.T) {
	fromYAML, err := Decode([]byte(goodYAML))
	assert.NilError(t, err)
	fromJSON, err := Decode([]byte(`{"teams": [{"name": "shore", "rate_per_second": 100}], "kinds": [
		{"name": "dusk", "class": "job", "urgency": 1, "share": 0.2},
		{"name": "unlock", "class": "request", "urgency": 9, "share": 0.5, "deadline_ms": 1000, "service_ms": 80}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, fromYAML, fromJSON)
	assert.Equal(t, fromYAML.Kinds[0].Name, "dusk")
	assert.Equal(t, fromYAML.Teams[0].Burst, 100)

	text, err := fromYAML.EncodeYAML()
	assert.NilError(t, err)
	again, err := Decode(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, fromYAML)
}

func TestDecodeRejectsInvalidText(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"", "empty"},
		{goodYAML + "colour: red\n", "colour"},
		{goodYAML + "---\nkinds: []\n", "more than one document"},
		{"kinds:\n  - {name: a, class: request, urgent: 1}\n", "urgent"},
		{"kinds:\n  - {name: a, class: request, share: a lot}\n", "share"},
		{"kinds:\n  - {name: a, class: request, class: job}\n", "class"},
		{`{"kinds": [{"name": "a", "class": "request", "urgent": 1}]}`, "urgent"},
		{`{"kinds": []} {}`, "more than one"},
		{"kinds: [", "invalid"},
	} {
		_, err := Decode([]byte(tc.text))
		assert.ErrorContains(t, err, tc.want, tc.text)
		assert.Equal(t, verdict.FromError(err).Reason, verdict.ManifestInvalid)
	}
}

func TestCheckReportsAllFieldErrors(t *testing.T) {
	_, err := Decode([]byte(`
kinds:
  - {name: UP, class: request}
  - {name: a, class: batch, share: -1}
  - {name: b, class: request, share: 0.7, deadline_ms: 100, service_ms: 200}
  - {name: b, class: request, share: 0.7, needs: {milli_cpu: 5}}
teams:
  - {name: t, burst: 5}
limits: {retry_percent: 101}
`))
	var fieldErrs FieldErrors
	assert.Assert(t, errors.As(err, &fieldErrs))
	want := map[string]string{
		"kinds[0].name":        `"UP"`,
		"kinds[a].class":       `"batch"`,
		"kinds[a].share":       "-1",
		"kinds[b].service_ms":  "200",
		"kinds[b].name":        `"b"`,
		"kinds[b].needs":       "{MilliCPU:5 MemoryMB:0 Accelerators:0}",
		"kinds[*].share":       "1.4",
		"teams[t].burst":       "5",
		"limits.retry_percent": "101",
	}
	got := map[string]string{}
	for _, f := range fieldErrs {
		got[f.Field] = f.Value
	}
	assert.DeepEqual(t, got, want)
}

func TestDiffReportsOperationAndFields(t *testing.T) {
	old, err := Decode([]byte(goodYAML))
	assert.NilError(t, err)
	unlock := *old.KindNamed("unlock")
	unlock.Share = 0.25
	next := old.withSections(0, []Section{{Name: "team/shore"}, teamSection(Team{Name: "bay", Weight: 1}), kindSection(unlock)})

	assert.DeepEqual(t, Diff(old, next), []Change{
		{Op: Changed, Section: "kind/unlock", Fields: []FieldChange{{Field: "share", Old: "0.5", New: "0.25"}}},
		{Op: Added, Section: "team/bay"},
		{Op: Removed, Section: "team/shore"},
	})
	assert.Equal(t, len(Diff(old, old)), 0)
}

// manyTeams returns a canonical manifest with one kind and n teams.
func manyTeams(n int, weight float64) *Manifest {
	m := &Manifest{Kinds: []Kind{{Name: "unlock", Class: "request", Share: 0.5}}}
	for i := range n {
		m.Teams = append(m.Teams, Team{Name: fmt.Sprintf("team-%05d", i), Weight: weight})
	}
	return m.Canonical()
}

func TestApplyWritesOnlyChangedSections(t *testing.T) {
	ctx := context.Background()
	table := platformd.NewStore()
	table.SetFaults(platformd.Faults{})
	s := NewStore(table)
	_, err := s.Apply(ctx, "op", 0, manyTeams(500, 1))
	assert.NilError(t, err)
	before := table.Stats()
	assert.Equal(t, before.TotalWrites(), int64(3), "the first version is written as one object and two rows")

	next := manyTeams(499, 1)
	next.Teams[7].Weight = 5
	_, err = s.Apply(ctx, "op", 1, next)
	assert.NilError(t, err)
	assert.Equal(t, table.Stats().TotalWrites()-before.TotalWrites(), int64(4))
	got, err := NewStore(table).Load(ctx)
	assert.NilError(t, err)
	next.Version = 2
	assert.DeepEqual(t, got, next)

	_, err = s.Apply(ctx, "op", 2, next)
	assert.NilError(t, err)
	assert.Equal(t, table.Stats().TotalWrites()-before.TotalWrites(), int64(4), "an unchanged manifest is not written")
}

func TestConflictNamesBothWriters(t *testing.T) {
	ctx := context.Background()
	table := platformd.NewStore()
	_, err := NewStore(table).Apply(ctx, "ann", 0, manyTeams(1, 1))
	assert.NilError(t, err)

	_, err = NewStore(table).Apply(ctx, "ben", 0, manyTeams(2, 1))

	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, *conflict, ConflictError{Base: 0, Writer: "ben", Current: 1, CurrentWriter: "ann"})
	e := verdict.FromError(err)
	assert.Equal(t, e.Verdict, verdict.NotRun)
	assert.Equal(t, e.Reason, verdict.ManifestConflict)
}

func TestApplyInOutageReportsNotRun(t *testing.T) {
	table := platformd.NewStore()
	table.SetFaults(platformd.Faults{Down: true})
	_, err := NewStore(table).Apply(context.Background(), "ann", 0, manyTeams(1, 1))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"kelpfire", "office"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		assert.NilError(t, err)
		_, err = Decode(text)
		assert.NilError(t, err, name)
	}
}
