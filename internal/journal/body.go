package journal

import (
	"fmt"

	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// batchBody is the stored form of a batch's entries. Texts that repeat from
// entry to entry, and the time, are stored once.
type batchBody struct {
	Strings []string       `cbor:"1,keyasint"`
	BaseMS  int64          `cbor:"2,keyasint"` // Unix time in ms
	Records []storedRecord `cbor:"3,keyasint"`
}

// storedRecord is the stored form of an Entry. DC, Reason, System, Kind and Team
// are indexes in Words.
type storedRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       uuid.UUID
	DC       int
	Verdict  verdict.Verdict
	Reason   int
	System   int
	Digest   uint64
	Kind     int
	Team     int
	OffsetMS int64 // since BaseMS
	FromPeer bool
}

// stringTable gives each text its index.
type stringTable struct {
	strings []string
	index   map[string]int
}

func (t *stringTable) add(s string) int {
	i, ok := t.index[s]
	if !ok {
		i = len(t.strings)
		t.index[s] = i
		t.strings = append(t.strings, s)
	}
	return i
}

func packRecords(records []Record) batchBody {
	table := &stringTable{index: map[string]int{}}
	body := batchBody{BaseMS: records[0].AtMS, Records: make([]storedRecord, 0, len(records))}
	for _, e := range records {
		body.Records = append(body.Records, storedRecord{
			ID:       e.Key.ID,
			DC:       table.add(e.Key.DC),
			Verdict:  e.Verdict,
			Reason:   table.add(string(e.Reason)),
			System:   table.add(string(e.System)),
			Digest:   e.Digest,
			Kind:     table.add(e.Kind),
			Team:     table.add(e.Team),
			OffsetMS: e.AtMS - body.BaseMS,
			FromPeer: e.FromPeer,
		})
	}
	body.Strings = table.strings
	return body
}

// records is the inverse of packEntries. An index out of bounds is an error.
func (b *batchBody) records() ([]Record, error) {
	out := make([]Record, 0, len(b.Records))
	for _, l := range b.Records {
		for _, i := range []int{l.DC, l.Reason, l.System, l.Kind, l.Team} {
			if i < 0 || i >= len(b.Strings) {
				return nil, fmt.Errorf("journal entry names word %d of %d", i, len(b.Strings))
			}
		}
		out = append(out, Record{
			Key:      key.Key{DC: b.Strings[l.DC], ID: l.ID},
			Verdict:  l.Verdict,
			Reason:   verdict.Reason(b.Strings[l.Reason]),
			System:   System(b.Strings[l.System]),
			Digest:   l.Digest,
			Kind:     b.Strings[l.Kind],
			Team:     b.Strings[l.Team],
			AtMS:     b.BaseMS + l.OffsetMS,
			FromPeer: l.FromPeer,
		})
	}
	return out, nil
}
