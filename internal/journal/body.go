package journal

import (
	"fmt"

	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// batchBody is the stored form of a batch's records. Strings that repeat from
// record to record, and the base time, are stored once.
type batchBody struct {
	Strings []string       `cbor:"1,keyasint"`
	BaseMS  int64          `cbor:"2,keyasint"` // Unix time in ms
	Records []storedRecord `cbor:"3,keyasint"`
}

// storedRecord is the stored form of a Record. DC, Reason, System, Kind and Team
// are indexes into batchBody.Strings.
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

// stringTable assigns an index to each distinct string.
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
	for _, rec := range records {
		body.Records = append(body.Records, storedRecord{
			ID:       rec.Key.ID,
			DC:       table.add(rec.Key.DC),
			Verdict:  rec.Verdict,
			Reason:   table.add(string(rec.Reason)),
			System:   table.add(string(rec.System)),
			Digest:   rec.Digest,
			Kind:     table.add(rec.Kind),
			Team:     table.add(rec.Team),
			OffsetMS: rec.AtMS - body.BaseMS,
			FromPeer: rec.FromPeer,
		})
	}
	body.Strings = table.strings
	return body
}

// records is the inverse of packRecords. It refuses an index out of bounds.
func (b *batchBody) records() ([]Record, error) {
	out := make([]Record, 0, len(b.Records))
	for _, l := range b.Records {
		for _, i := range []int{l.DC, l.Reason, l.System, l.Kind, l.Team} {
			if i < 0 || i >= len(b.Strings) {
				return nil, fmt.Errorf("journal record refers to string %d of a table of %d strings", i, len(b.Strings))
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
