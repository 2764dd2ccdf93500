package journal

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// cursor is a position in one log: the next record to read.
type cursor struct {
	seq   uint64 // of the row, from 1
	index int    // of the record in the row
}

// position is a position in the account: a cursor for each data centre.
type position map[string]cursor

// String returns the text form: <data centre>:<row>.<record> for each data
// centre, in order of name and joined by commas.
func (p position) String() string {
	parts := make([]string, 0, len(p))
	for _, dc := range slices.Sorted(maps.Keys(p)) {
		parts = append(parts, fmt.Sprintf("%s:%d.%d", dc, p[dc].seq, p[dc].index))
	}
	return strings.Join(parts, ",")
}

// parsePosition is the inverse of String. An empty text is the start of the
// account.
func parsePosition(text string) (position, error) {
	p := position{}
	if text == "" {
		return p, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		dc, cursorText, _ := strings.Cut(part, ":")
		row, record, _ := strings.Cut(cursorText, ".")
		seq, err1 := strconv.ParseUint(row, 10, 64)
		index, err2 := strconv.ParseUint(record, 10, 31)
		if !key.ValidName(dc) || err1 != nil || err2 != nil {
			return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "%.80q is not a position in the account", text)
		}
		p[dc] = cursor{seq: max(seq, 1), index: int(index)}
	}
	return p, nil
}

// cursorOf returns the cursor of a data centre, or the start of its log if there
// is none.
func (p position) cursorOf(dc string) cursor {
	if c, ok := p[dc]; ok {
		return c
	}
	return cursor{seq: 1}
}

// before reports whether c comes before o in a log.
func (c cursor) before(o cursor) bool {
	return c.seq < o.seq || c.seq == o.seq && c.index < o.index
}
