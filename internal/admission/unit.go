// Package admission decides which task of one class of work starts next, and
// rejects work at once if it cannot be answered in time. It enforces guaranteed
// shares for kinds, fair shares and quotas for teams, and headroom for kinds
// that are idle now. It has no clock, socket or goroutine: the caller holds a
// lock for every call and passes the time as an argument.
//
// Fairness among teams is start-time fair queueing; source: Goyal, Vin and
// Cheng, "Start-time fair queuing", ACM SIGCOMM 1996.
package admission

import (
	"time"

	"currantstall/internal/structs"
)

// Unit is one task that waits for room on a target.
type Unit struct {
	ID    uint64 // unique within the queue
	Group uint64 // the job or request that the unit belongs to
	Kind  string
	Team  string
	Needs structs.Resources
	// JobSize is the number of tasks of the whole job. 0 means the number of
	// units offered together.
	JobSize int
	// Deadline is the time by which the answer is due.
	Deadline time.Time
	// QuotaCharged means that the unit was admitted before and is queued again
	// because it found no target. The team's quota is not charged again.
	QuotaCharged bool
	// Offloaded means that a peer offloaded the unit to this entry. It is not
	// offloaded again, and the peer has charged it to the team's quota.
	Offloaded bool
	// QueuedAt is the time at which the unit was offered. Offer sets it if it
	// is zero.
	QueuedAt time.Time
}

// Policy selects how the queue orders work.
type Policy uint8

// The policies. FIFO and TakeTurns are baselines for measurements only: they
// drop a queued unit only once its deadline has passed.
const (
	// Shares is the production policy.
	Shares Policy = iota
	// FIFO starts units in order of arrival, whatever their kind, and rejects
	// units only when the queue is full.
	FIFO
	// TakeTurns serves the kinds in turn (round robin), without shares, and
	// rejects units only when the queue is full.
	TakeTurns
)

// Config holds the settings of a Queue that do not come from the manifest. Zero
// values select the defaults.
type Config struct {
	Policy Policy
	// MaxQueued bounds the number of queued units. The default is 100,000.
	MaxQueued int
}

const (
	defaultMaxQueued = 100_000
	// defaultHeadroomPercent is the percentage of each kind's unused guarantee
	// that stays free.
	defaultHeadroomPercent = 2
	// minShare is the least fraction of the capacity that a kind is guaranteed,
	// even if the manifest gives it less, so that no kind starves.
	minShare = 0.005
)
