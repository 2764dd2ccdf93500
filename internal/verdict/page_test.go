package verdict

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// declaredReasons returns the values of all Reason constants in reason.go.
func declaredReasons(t *testing.T) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	assert.NilError(t, err)
	var reasons []string
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			for _, value := range v.Values {
				text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
				assert.NilError(t, err)
				reasons = append(reasons, text)
			}
		}
		return true
	})
	return reasons
}

// TestReasonsPageListsEveryReason checks that docs/operations/reasons.md has a row
// for every declared reason and for no other.
func TestReasonsPageListsEveryReason(t *testing.T) {
	b, err := os.ReadFile("../../docs/operations/reasons.md")
	assert.NilError(t, err)
	_, b, ok := bytes.Cut(b, []byte("\n## "))
	assert.Assert(t, ok, "the page has no sections")
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllSubmatch(b, -1) {
		listed = append(listed, string(m[1]))
	}
	want := declaredReasons(t)
	assert.Assert(t, len(want) > 0)
	slices.Sort(want)
	slices.Sort(listed)
	assert.DeepEqual(t, listed, want) // add the reason, with its cause, to the page
}
