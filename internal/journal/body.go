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
	Words  []string     `cbor:"1,keyasint"`
	BaseMS int64        `cbor:"2,keyasint"` // Unix time in ms
	Lines  []storedLine `cbor:"3,keyasint"`
}

// storedLine is the stored form of an Entry. DC, Reason, System, Kind and Team
// are indexes in Words.
type storedLine struct {
	_       struct{} `cbor:",toarray"`
	ID      uuid.UUID
	DC      int
	Verdict verdict.Verdict
	Reason  int
	System  int
	Digest  uint64
	Kind    int
	Team    int
	AfterMS int64 // since BaseMS
	Again   bool
}

// wordTable gives each text its index.
type wordTable struct {
	words []string
	index map[string]int
}

func (t *wordTable) add(word string) int {
	i, ok := t.index[word]
	if !ok {
		i = len(t.words)
		t.index[word] = i
		t.words = append(t.words, word)
	}
	return i
}

func packEntries(entries []Entry) batchBody {
	words := &wordTable{index: map[string]int{}}
	body := batchBody{BaseMS: entries[0].AtMS, Lines: make([]storedLine, 0, len(entries))}
	for _, e := range entries {
		body.Lines = append(body.Lines, storedLine{
			ID:      e.Key.ID,
			DC:      words.add(e.Key.DC),
			Verdict: e.Verdict,
			Reason:  words.add(string(e.Reason)),
			System:  words.add(string(e.System)),
			Digest:  e.Digest,
			Kind:    words.add(e.Kind),
			Team:    words.add(e.Team),
			AfterMS: e.AtMS - body.BaseMS,
			Again:   e.Again,
		})
	}
	body.Words = words.words
	return body
}

// entries is the inverse of packEntries. An index out of bounds is an error.
func (b *batchBody) entries() ([]Entry, error) {
	out := make([]Entry, 0, len(b.Lines))
	for _, l := range b.Lines {
		for _, i := range []int{l.DC, l.Reason, l.System, l.Kind, l.Team} {
			if i < 0 || i >= len(b.Words) {
				return nil, fmt.Errorf("journal entry names word %d of %d", i, len(b.Words))
			}
		}
		out = append(out, Entry{
			Key:     key.Key{DC: b.Words[l.DC], ID: l.ID},
			Verdict: l.Verdict,
			Reason:  verdict.Reason(b.Words[l.Reason]),
			System:  System(b.Words[l.System]),
			Digest:  l.Digest,
			Kind:    b.Words[l.Kind],
			Team:    b.Words[l.Team],
			AtMS:    b.BaseMS + l.AfterMS,
			Again:   l.Again,
		})
	}
	return out, nil
}
