// Package admission decides which task of one class of work starts next, and
// refuses at once what could not be answered in time. It holds guaranteed
// shares for kinds, fair shares and quotas for teams, and room for kinds that
// are idle now. It has no clock, socket or goroutine: one caller drives it
// under one lock, with the time as an argument.
//
// Fairness among teams is start-time fair queueing; source: Goyal, Vin and
// Cheng, "Start-time fair queuing", ACM SIGCOMM 1996.
package admission

import (
	"time"

	"currantstall/internal/structs"
)

// Unit is one task that waits for a place on a target.
type Unit struct {
	ID    uint64 // unique within the queue
	Group uint64 // the job or request that the unit belongs to
	Kind  string
	Team  string
	Needs structs.Resources
	// JobSize is the number of tasks of the whole job; 0 stands for the
	// number of units offered together.
	JobSize int
	// Deadline is the time by which the answer has to be there.
	Deadline time.Time
	// QuotaCharged means that the unit was admitted before, and comes back since it
	// found no target. The team's quota is not charged again.
	QuotaCharged bool
	// Offloaded means that the unit came from a peer: it is not handed on
	// again and was charged to the team's quota there.
	Offloaded bool
	// QueuedAt is the time of the offer; Offer sets it if it is zero.
	QueuedAt time.Time
}

// Policy selects how the queue orders work.
type Policy uint8

// The policies. FIFO and TakeTurns are baselines for measurements only: they
// drop a unit only once its deadline has passed.
const (
	// Shares is the policy of the product.
	Shares Policy = iota
	// FIFO starts units in the order of arrival, whatever their kind, and
	// refuses only when the queue is full.
	FIFO
	// TakeTurns serves the kinds one after the other, without shares, and
	// refuses only when the queue is full.
	TakeTurns
)

// Config is the part of the settings that does not come from the manifest.
// Zero values stand for defaults.
type Config struct {
	Policy Policy
	// MaxQueued bounds the queue in units, default 100,000.
	MaxQueued int
}

const (
	defaultMaxQueued = 100_000
	// defaultHeadroomPercent of each kind's unused guarantee stays free.
	defaultHeadroomPercent = 2
	// minShare is the part of the capacity that a kind is guaranteed though
	// the manifest gives it less, so that none starves.
	minShare = 0.005
)
