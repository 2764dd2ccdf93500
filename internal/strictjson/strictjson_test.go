package strictjson

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

// shortList is the size of a list that is worth a look at how much of it is decoded, in bytes.
const shortList = 16 << 10

func TestDecodeList(t *testing.T) {
	long := "[" + strings.Repeat("1,", shortList) + "1]"
	for name, c := range map[string]struct {
		text string
		want int // items, -1 for an error
	}{
		"short":             {"[1,2,3]", 3},
		"empty":             {"[]", 0},
		"null":              {"null", 0},
		"not a list":        {`"x"`, -1},
		"wrong item":        {`[1,"x"]`, -1},
		"long":              {"[" + strings.Repeat(" ", shortList) + "1,2]", 2},
		"too long":          {long, 11},
		"long, not a list":  {`{"a":` + long + `}`, -1},
		"long, wrong item":  {`["` + strings.Repeat("x", shortList) + `"]`, -1},
		"long null":         {strings.Repeat(" ", shortList) + "null", 0},
		"long, empty items": {"[" + strings.Repeat(" ", shortList) + "]", 0},
	} {
		t.Run(name, func(t *testing.T) {
			list, err := DecodeList[int]([]byte(c.text), 10)
			assert.Equal(t, err != nil, c.want < 0, "%v", err)
			assert.Assert(t, c.want < 0 || len(list) == c.want, "%d items", len(list))
		})
	}
}

func TestErrorsAreShort(t *testing.T) {
	long := strings.Repeat("1", shortList)
	var v struct{ A int }
	for _, text := range []string{`{"a":` + long + `}`, `{"` + long + `":1}`} {
		err := Decode([]byte(text), &v)
		assert.Assert(t, err != nil && len(err.Error()) < 2*maxErrorBytes, "%.300v", err)
	}
	assert.Error(t, ShortError(errors.New("short")), "short")
	assert.Assert(t, utf8.ValidString(ShortError(errors.New(strings.Repeat("a", maxErrorBytes-1)+"é")).Error()))
}

// FuzzEachItem checks that the items of a valid list are those that encoding/json finds.
func FuzzEachItem(f *testing.F) {
	for _, text := range []string{"null", "[]", " [ 1 , 2 ] ", `["a,b","\\",{"c":[1,"]"]}]`, `[[],{}]`, `[""]`, `{"a":1}`, "7", `["\"]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !json.Valid(b) {
			return
		}
		var want, got []json.RawMessage
		wantErr := json.Unmarshal(b, &want)
		err := EachItem(b, func(item []byte) (bool, error) {
			got = append(got, item)
			return true, nil
		})
		assert.Equal(t, err != nil, wantErr != nil)
		if err == nil {
			assert.DeepEqual(t, got, want, cmpopts.EquateEmpty())
		}
	})
}
