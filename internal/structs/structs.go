// Package structs defines the data types that the dispatcher's packages share:
// work, resources, outcomes, members and views.
package structs

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 670

// Class determines which kind of target runs the work.
type Class uint8

// The classes of work.
const (
	// Request is one task, run in a slot of a runner.
	Request Class = iota + 1
	// Job is 1 to MaxTasks tasks, run on the cores of workers.
	Job
)

// String returns "request", "job" or "unknown".
func (c Class) String() string {
	switch c {
	case Request:
		return "request"
	case Job:
		return "job"
	}
	return "unknown"
}

// Resources is an amount of a worker's capacity.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty" json:"milli_cpu,omitempty" yaml:"milli_cpu,omitempty"`       // thousandths of a core
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty" yaml:"memory_mb,omitempty"`       // MiB
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty" yaml:"accelerators,omitempty"` // whole devices
}

// Limits of an amount from another process: sums over a deployment's targets or tasks
// don't overflow.
const (
	MaxMilliCPU     = 1_000_000_000
	MaxMemoryMB     = 1 << 32
	MaxAccelerators = 1 << 16
)

// Valid reports whether no resource is negative or above its limit.
func (r Resources) Valid() bool {
	return r.MilliCPU >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0 &&
		r.Fits(Resources{MaxMilliCPU, MaxMemoryMB, MaxAccelerators})
}

// Times returns how many times r fits within the available amounts; math.MaxInt32 if r is empty.
func (r Resources) Times(available Resources) int {
	times := int64(math.MaxInt32)
	for _, x := range [...]struct{ need, available int64 }{
		{r.MilliCPU, available.MilliCPU}, {r.MemoryMB, available.MemoryMB}, {r.Accelerators, available.Accelerators},
	} {
		if x.need > 0 {
			times = min(times, max(x.available, 0)/x.need)
		}
	}
	return int(times)
}

// Fits reports whether r is within free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum by resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference by resource, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of the two by resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller of the two by resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Work is one request or one submission (a job) as accepted from a caller.
type Work struct {
	Key   key.Key   `cbor:"1,keyasint"`
	Class Class     `cbor:"2,keyasint"`
	Kind  string    `cbor:"3,keyasint"`
	Team  string    `cbor:"4,keyasint"`
	Tasks [][]byte  `cbor:"5,keyasint"` // one body per task; a request has one
	Needs Resources `cbor:"6,keyasint"` // of each task, as declared by the caller or the kind
	// Deadline is the time by which the caller must have the answer.
	Deadline time.Time `cbor:"7,keyasint"`
	// Repeatable means that the work may run more than once and needs no claim.
	Repeatable bool `cbor:"8,keyasint"`
	// FreshKey means that the receiving entry minted the key for this very
	// request, so no other copy of the request can carry it.
	FreshKey bool `cbor:"9,keyasint"`
}

// Digest identifies what the work asks for. Two requests with one key and
// different digests conflict. The deadline is not part of the digest.
func (w *Work) Digest() uint64 {
	d := xxhash.New()
	for _, s := range []string{w.Class.String(), w.Kind, w.Team} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, t := range w.Tasks {
		var n [8]byte
		for i, v := 0, uint64(len(t)); i < len(n); i++ {
			n[i] = byte(v >> (8 * i))
		}
		_, _ = d.Write(n[:])
		_, _ = d.Write(t)
	}
	return d.Sum64()
}

// Outcome is the result of a request or job: its whole answer, or the reason why
// there is none. Answers is set only with verdict Completed, one body per task in
// order.
type Outcome struct {
	Verdict    verdict.Verdict `cbor:"1,keyasint"`
	Reason     verdict.Reason  `cbor:"2,keyasint,omitempty"`
	Message    string          `cbor:"3,keyasint,omitempty"`
	Answers    [][]byte        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"5,keyasint,omitempty"`
}

// Err returns nil for a completed outcome, else the outcome as an error.
func (o *Outcome) Err() error {
	if o.Verdict == verdict.Completed {
		return nil
	}
	return &verdict.Error{Verdict: o.Verdict, Reason: o.Reason, Message: o.Message, RetryAfter: o.RetryAfter}
}

// OutcomeFromError returns the outcome for an error, as verdict.FromError reads
// it.
func OutcomeFromError(err error) Outcome {
	e := verdict.FromError(err)
	return Outcome{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfter: e.RetryAfter}
}

// Size returns the number of bytes of the message and the answers.
func (o *Outcome) Size() int {
	n := len(o.Message)
	for _, a := range o.Answers {
		n += len(a)
	}
	return n
}

// Member is one incarnation of an entry. A restarted process has the same name
// and a higher incarnation number.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Addr        string `cbor:"3,keyasint" json:"addr"` // host:port of the peer listener
}

// View is the set of entries of one data centre that may hold claims. Views
// of a data centre are totally ordered by Version; members are sorted by name,
// and names are unique.
type View struct {
	DC      string   `cbor:"1,keyasint" json:"data_centre"`
	Version uint64   `cbor:"2,keyasint" json:"version"`
	Members []Member `cbor:"3,keyasint" json:"members"`
	// BaseVersion is the newest view that a proposer knew to be in force, and
	// Base its members. Each of them knows that view or a newer one.
	BaseVersion uint64   `cbor:"4,keyasint" json:"base_version"`
	Base        []Member `cbor:"5,keyasint" json:"base,omitempty"`
	// Removed holds the members removed since BaseVersion.
	Removed []Removal `cbor:"6,keyasint" json:"removed,omitempty"`
	// HorizonMS is a Unix time in ms, 0 for none. For a key minted before it,
	// both records of a claim may be lost.
	HorizonMS int64 `cbor:"7,keyasint" json:"horizon_ms,omitempty"`
	// Challenger is an entry that reaches none of the members and takes over
	// the view unless one of them objects by writing the view's row again.
	Challenger *Member `cbor:"8,keyasint,omitempty" json:"challenge,omitempty"`
	// ChallengerReach is the number of other entries from which the challenger
	// receives messages.
	ChallengerReach int `cbor:"9,keyasint,omitempty" json:"challenge_reach,omitempty"`
}

// Removal is the removal of a member from a view.
type Removal struct {
	Member Member `cbor:"1,keyasint" json:"member"`
	// Version is that of the first view without the member.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Left means that the member left on its own and handed over its claims.
	Left bool `cbor:"3,keyasint" json:"left,omitempty"`
	// Dead means that this incarnation has certainly ended, or that it can no
	// longer hold a lease.
	Dead bool `cbor:"4,keyasint" json:"dead,omitempty"`
}

// Same reports whether m and o are the same incarnation of an entry.
func (m Member) Same(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation
}

// Find returns the member with the given name.
func (v *View) Find(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Has reports whether this incarnation of an entry is in the view.
func (v *View) Has(m Member) bool {
	got, ok := v.Find(m.Name)
	return ok && got.Incarnation == m.Incarnation
}
