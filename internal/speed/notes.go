package speed

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// Notes are the evidence on slow targets as a leader passes it on to those who may follow it: 8 bytes that stand for the
// life of a target, its signs, its factor in steps of factorStep and the age of the evidence in steps of ageStep.
type Notes []byte

const (
	noteBytes = 11
	// MaxNotes is the largest number of targets that are passed on.
	MaxNotes   = 48
	factorStep = 0.05 // of the logarithm
	ageStep    = 100 * time.Millisecond
)

// Life returns what stands for one life of a target.
func Life(target string, incarnation int64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(target))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(incarnation)))
	return h.Sum64()
}

// Add adds the evidence on a target unless it is ordinary or there is no room for it.
func (n Notes) Add(now time.Duration, life uint64, t *Target) Notes {
	signs := t.left(now)
	if signs < signsOfSuspect || len(n) >= MaxNotes*noteBytes {
		return n
	}
	n = binary.BigEndian.AppendUint64(n, life)
	age := max(now-t.at, 0) % fadeAfter // what was older than that has faded
	return append(n, byte(signs), byte(min(max(t.excess/factorStep, 0), math.MaxUint8)), byte(age/ageStep))
}

// All calls yield for each life of a target and the evidence on it. What is not of the right form is left out.
func (n Notes) All(now time.Duration, yield func(life uint64, t Target)) {
	for ; len(n) >= noteBytes; n = n[noteBytes:] {
		yield(binary.BigEndian.Uint64(n), Target{
			signs: min(int(n[8]), maxSigns), excess: float64(n[9]) * factorStep, at: now - min(time.Duration(n[10])*ageStep, fadeAfter),
		})
	}
}

// Learn replaces the evidence by that of another entry if that is fresher.
func (t *Target) Learn(o Target) {
	if o.at > t.at {
		o.pace = t.pace
		*t = o
	}
}
