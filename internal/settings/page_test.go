package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	settingsPage = "../../docs/operations/settings.md"
	tableBegin   = "<!-- table: generated, see internal/settings/page_test.go -->\n"
	tableEnd     = "<!-- end of table -->\n"
)

// settingsTable returns the settings of an entry as a Markdown table.
func settingsTable(t *testing.T) string {
	t.Helper()
	var e Entry
	p, err := kong.New(&e, kong.DefaultEnvars("CURRANTSTALL"))
	assert.NilError(t, err)
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range p.Model.Flags {
		if f.Name == "help" {
			continue
		}
		def := "none"
		if f.HasDefault {
			def = "`" + f.Default + "`"
		}
		if f.Required {
			def = "required"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, " "), def, f.Help)
	}
	return b.String()
}

// TestSettingsPageIsUpToDate checks that the table on the page matches the code.
// To regenerate it: go test ./internal/settings -run Page -update
func TestSettingsPageIsUpToDate(t *testing.T) {
	b, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	before, rest, ok := strings.Cut(string(b), tableBegin)
	assert.Assert(t, ok, "the page has no marker for the start of the table")
	old, after, ok := strings.Cut(rest, tableEnd)
	assert.Assert(t, ok, "the page has no marker for the end of the table")
	want := settingsTable(t)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(before+tableBegin+want+tableEnd+after), 0o644))
		return
	}
	assert.Equal(t, old, want, "regenerate the table with: go test ./internal/settings -run Page -update")
}
