package metrics

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const alarmsPage = "../../docs/operations/alarms.md"

var (
	alarmRow     = regexp.MustCompile("(?m)^\\| `([a-z_]+)(?:\\{[a-z]+=\"([a-z_]+)\"\\})?` \\|")
	subScope     = regexp.MustCompile(`SubScope\("([a-z_]+)"\)`)
	metricName   = regexp.MustCompile(`\.(?:Counter|Gauge)\("([a-z_]+)"\)`)
	constantDecl = regexp.MustCompile(`(?m)^\t[A-Z]\w+ +(?:Reason )? *= "([a-z_]+)"`)
)

// declaredMetrics returns the names of the metrics in the code: the constants of
// this package, and the literals in the sub-scopes of the other packages.
func declaredMetrics(t *testing.T) map[string]bool {
	t.Helper()
	names := stringConstants(t, "metrics.go")
	scopes := make(map[string]string) // by directory
	sources := make(map[string]string)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		dir := filepath.Dir(path)
		sources[dir] += string(b)
		if m := subScope.FindSubmatch(b); m != nil {
			scopes[dir] = string(m[1])
		}
		return err
	})
	assert.NilError(t, err)
	for dir, scope := range scopes {
		for _, m := range metricName.FindAllStringSubmatch(sources[dir], -1) {
			names[scope+"_"+m[1]] = true
		}
	}
	return names
}

// stringConstants returns the values of the exported string constants in a file.
func stringConstants(t *testing.T, path string) map[string]bool {
	t.Helper()
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	names := make(map[string]bool)
	for _, m := range constantDecl.FindAllSubmatch(b, -1) {
		names[string(m[1])] = true
	}
	return names
}

func TestAlarmsPageNamesDeclaredMetrics(t *testing.T) {
	page, err := os.ReadFile(alarmsPage)
	assert.NilError(t, err)
	metrics, reasons := declaredMetrics(t), stringConstants(t, "../verdict/reason.go")
	rows := alarmRow.FindAllStringSubmatch(string(page), -1)
	assert.Equal(t, len(rows), strings.Count(string(page), "\n| `"), "a row of the table does not begin with the name of a metric")
	for _, row := range rows {
		assert.Assert(t, metrics[row[1]], "no metric %s", row[1])
		reason := row[2]
		assert.Assert(t, reason == "" || reasons[reason] || reason == "may_have_run", "no reason %s", reason)
	}
}
