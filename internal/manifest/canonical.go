package manifest

import (
	"math"
	"slices"
	"strings"
	"time"

	"currantstall/internal/structs"
)

// Defaults of the fields of a kind, a team and the limits. They are filled in
// before a version is accepted, so that entries of different releases agree on
// its values.
const (
	DefaultRequestDeadline = time.Second
	DefaultJobDeadline     = time.Minute
	DefaultServiceTime     = 200 * time.Millisecond
	DefaultTaskMilliCPU    = 1000
	DefaultTaskMemoryMB    = 256
	DefaultTeamWeight      = 1

	DefaultKeyTTL          = 15 * time.Minute
	DefaultMaxBodyBytes    = 256 << 10
	DefaultMaxAnswerBytes  = 1 << 20
	DefaultKeptAnswerBytes = 64 << 20
	DefaultRetryPercent    = 10
	DefaultHedgePercent    = 5
	DefaultHeadroomPercent = 10
)

// Canonical returns a copy with sorted kinds and teams and with defaults in place
// of zero values. Equal configurations have equal canonical forms.
func (m *Manifest) Canonical() *Manifest {
	c := &Manifest{Version: m.Version, Limits: m.Limits.withDefaults()}
	c.Kinds = make([]Kind, 0, len(m.Kinds))
	for _, k := range m.Kinds {
		c.Kinds = append(c.Kinds, k.withDefaults())
	}
	c.Teams = make([]Team, 0, len(m.Teams))
	for _, t := range m.Teams {
		c.Teams = append(c.Teams, t.withDefaults())
	}
	slices.SortStableFunc(c.Kinds, func(a, b Kind) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	return c
}

func (k Kind) withDefaults() Kind {
	isJob := k.Class == structs.Job.String()
	if k.DeadlineMS == 0 {
		k.DeadlineMS = DefaultRequestDeadline.Milliseconds()
		if isJob {
			k.DeadlineMS = DefaultJobDeadline.Milliseconds()
		}
	}
	if k.ServiceMS == 0 {
		k.ServiceMS = min(DefaultServiceTime.Milliseconds(), max(k.DeadlineMS, 1))
	}
	if isJob {
		k.Needs.MilliCPU = orDefault(k.Needs.MilliCPU, DefaultTaskMilliCPU)
		k.Needs.MemoryMB = orDefault(k.Needs.MemoryMB, DefaultTaskMemoryMB)
	}
	return k
}

func (t Team) withDefaults() Team {
	t.Weight = orDefault(t.Weight, DefaultTeamWeight)
	if t.RatePerSecond > 0 && t.Burst == 0 {
		t.Burst = int(min(math.Ceil(t.RatePerSecond), maxBurst))
	}
	return t
}

func (l Limits) withDefaults() Limits {
	l.KeyTTLMS = orDefault(l.KeyTTLMS, DefaultKeyTTL.Milliseconds())
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, DefaultMaxBodyBytes)
	l.MaxAnswerBytes = orDefault(l.MaxAnswerBytes, DefaultMaxAnswerBytes)
	l.KeptAnswerBytes = orDefault(l.KeptAnswerBytes, DefaultKeptAnswerBytes)
	l.RetryPercent = orDefault(l.RetryPercent, DefaultRetryPercent)
	l.HedgePercent = orDefault(l.HedgePercent, DefaultHedgePercent)
	l.HeadroomPercent = orDefault(l.HeadroomPercent, DefaultHeadroomPercent)
	return l
}

func orDefault[T int | int64 | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
