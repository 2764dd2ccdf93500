// Package manifest defines the operators' versioned configuration: its schema,
// its validation and the difference between two versions. It stores accepted
// versions in the platform's table and rolls them out to all entries.
package manifest

import (
	"sort"
	"time"

	"currantstall/internal/structs"
)

// Manifest is one version of the operators' configuration. Version 0 means that
// none has been accepted yet. Kinds and Teams are sorted by name.
type Manifest struct {
	Version uint64 `json:"version" yaml:"version,omitempty" cbor:"1,keyasint"`
	Kinds   []Kind `json:"kinds" yaml:"kinds" cbor:"2,keyasint"`
	Teams   []Team `json:"teams" yaml:"teams" cbor:"3,keyasint"`
	Limits  Limits `json:"limits" yaml:"limits" cbor:"4,keyasint"`
}

// Kind describes one kind of work.
type Kind struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	// Class is "request", whose tasks run on runners, or "job", whose tasks
	// run on workers.
	Class string `json:"class" yaml:"class" cbor:"2,keyasint"`
	// Urgency is the priority in the use of spare capacity; a higher number
	// goes first.
	Urgency int `json:"urgency" yaml:"urgency" cbor:"3,keyasint"`
	// Share is the guaranteed part of the capacity of the kind's class, 0 to
	// 1. The shares of a class sum to at most 1.
	Share float64 `json:"share" yaml:"share" cbor:"4,keyasint"`
	// DeadlineMS is the deadline in ms of work that is submitted without one.
	DeadlineMS int64 `json:"deadline_ms" yaml:"deadline_ms" cbor:"5,keyasint"`
	// Repeatable means that the work may run more than once: it needs no claim
	// and may be retried and hedged.
	Repeatable bool `json:"repeatable" yaml:"repeatable" cbor:"6,keyasint"`
	// ServiceMS is the declared run time of one task in ms, an initial estimate.
	ServiceMS int64 `json:"service_ms" yaml:"service_ms" cbor:"7,keyasint"`
	// Needs is the declared resource need of one task of a job, an initial
	// estimate.
	Needs structs.Resources `json:"needs,omitempty" yaml:"needs,omitempty" cbor:"8,keyasint"`
}

// Deadline returns DeadlineMS as a duration.
func (k *Kind) Deadline() time.Duration { return time.Duration(k.DeadlineMS) * time.Millisecond }

// ServiceTime returns ServiceMS as a duration.
func (k *Kind) ServiceTime() time.Duration { return time.Duration(k.ServiceMS) * time.Millisecond }

// WorkClass returns Class as a structs.Class.
func (k *Kind) WorkClass() structs.Class {
	if k.Class == structs.Job.String() {
		return structs.Job
	}
	return structs.Request
}

// Team is a group of callers with a quota.
type Team struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	// Weight is the team's part of a kind's capacity under contention,
	// relative to the other teams with waiting work; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty" cbor:"2,keyasint"`
	// RatePerSecond limits the team's task starts across all entries; 0 means
	// no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty" yaml:"rate_per_second,omitempty" cbor:"3,keyasint"`
	// Burst is the number of tasks that may start at once above the rate.
	Burst int `json:"burst,omitempty" yaml:"burst,omitempty" cbor:"4,keyasint"`
}

// Limits bounds sizes, retention and the capacity for retries and hedges. Zero
// values stand for the defaults.
type Limits struct {
	KeyTTLMS        int64 `json:"key_ttl_ms,omitempty" yaml:"key_ttl_ms,omitempty" cbor:"1,keyasint"`               // lifetime of a key, ms
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes,omitempty" cbor:"2,keyasint"`       // of one task
	MaxAnswerBytes  int64 `json:"max_answer_bytes,omitempty" yaml:"max_answer_bytes,omitempty" cbor:"3,keyasint"`   // of one task
	KeptAnswerBytes int64 `json:"kept_answer_bytes,omitempty" yaml:"kept_answer_bytes,omitempty" cbor:"4,keyasint"` // all kept answers of one entry
	RetryPercent    int   `json:"retry_percent,omitempty" yaml:"retry_percent,omitempty" cbor:"5,keyasint"`         // retries, % of fresh traffic
	HedgePercent    int   `json:"hedge_percent,omitempty" yaml:"hedge_percent,omitempty" cbor:"6,keyasint"`         // hedges, % of fresh traffic
	HeadroomPercent int   `json:"headroom_percent,omitempty" yaml:"headroom_percent,omitempty" cbor:"7,keyasint"`   // part of each idle kind's share that is kept free, %
}

// KindNamed returns the kind of that name, or nil.
func (m *Manifest) KindNamed(name string) *Kind {
	return find(m.Kinds, name, func(k *Kind) string { return k.Name })
}

// TeamNamed returns the team of that name, or nil.
func (m *Manifest) TeamNamed(name string) *Team {
	return find(m.Teams, name, func(t *Team) string { return t.Name })
}

// maxLinearSearch is the list length up to which a linear search is faster than a
// binary search.
const maxLinearSearch = 16

// find returns the item of that name in a list sorted by name, or nil.
func find[T any](items []T, name string, nameOf func(*T) string) *T {
	if len(items) <= maxLinearSearch {
		for i := range items {
			if nameOf(&items[i]) == name {
				return &items[i]
			}
		}
		return nil
	}
	i := sort.Search(len(items), func(i int) bool { return nameOf(&items[i]) >= name })
	if i == len(items) || nameOf(&items[i]) != name {
		return nil
	}
	return &items[i]
}
