package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The length of an offloaded task's job and the ID of its work had the same key, and the
// decoder drops both of two such fields.
func TestNoTwoFieldsOfAMessageShareAKey(t *testing.T) {
	files, structs := 0, 0
	for _, root := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			files++
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if s, ok := n.(*ast.StructType); ok {
					structs++
					checkKeys(t, path, s)
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, files > 100 && structs > 100, "%d files, %d structs", files, structs)
}

func checkKeys(t *testing.T, path string, s *ast.StructType) {
	seen := map[string]bool{}
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		tag, err := strconv.Unquote(f.Tag.Value)
		assert.NilError(t, err)
		key, _, _ := strings.Cut(reflect.StructTag(tag).Get("cbor"), ",")
		if key == "" || key == "-" {
			continue
		}
		assert.Check(t, !seen[key], "%s: a struct has two fields with the CBOR key %s", path, key)
		seen[key] = true
	}
}
