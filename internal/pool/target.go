package pool

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/statechart"
	"currantstall/internal/structs"
)

// target is what the pool knows of a target.
type target struct {
	fleet.Target
	listed         bool // by discovery
	acquirePolicy  AcquirePolicy
	wasUnreachable bool          // out of reach since it was owned last
	lastOwnedAt    time.Duration // when it was owned last

	fence           uint64
	owned           bool // a list was read under the fence
	acquiring       bool // a hold is out that would make it owned
	nextAcquireAt   time.Duration
	fencedInARow    int // fences lost in a row to another owner
	holdInFlight    bool
	unansweredHolds int // holds without an answer in a row
	refreshDue      bool
	refreshInFlight bool
	lastEnd         int64 // number of the last end that was taken in
	ackDue          bool  // ends were taken in and not acknowledged yet
	heldEnds        []heldEnd
	nextHoldAt      time.Duration // from when a hold may be sent while ends are held
	used            structs.Resources
	unclaimed       int // foreign runs of unknown size
	gangPicked      int // tasks of the gang that is being placed
	runs            map[runKey]*run
	clockMS         int64         // of the target, in ms
	clockReadAt     time.Duration // when it was read
	latestLeaseMS   int64         // the latest lease handed out, in ms of its clock
	// unknownLeasesEnd is when all has lapsed that an incarnation runs whose clock is
	// not known.
	unknownLeasesEnd time.Duration

	health
}

type runKey struct {
	taskID fleet.TaskID
	number int
}

// free returns the room that is not taken. A run of unknown size takes all.
func (t *target) free() structs.Resources {
	if t.unclaimed > 0 {
		return structs.Resources{}
	}
	return t.Capacity.Minus(t.used)
}

// reset drops ownership and all that depends on it.
func (t *target) reset() {
	t.lastEnd, t.heldEnds = t.ackNumber(), nil
	t.owned, t.acquiring, t.holdInFlight, t.refreshDue, t.refreshInFlight, t.ackDue = false, false, false, false, false, false
	t.fence, t.unansweredHolds, t.unclaimed, t.fencedInARow = 0, 0, 0, 0
	t.used = structs.Resources{}
	t.runs = make(map[runKey]*run)
	t.latestLeaseMS, t.wasUnreachable = 0, false
}

// leaseUntil returns a leaseUntil from now, in ms of the target's clock.
func (t *target) leaseUntil(now, length time.Duration) int64 {
	if t.clockMS == 0 {
		return 0
	}
	until := t.clockMS + (now - t.clockReadAt).Milliseconds() + length.Milliseconds()
	t.latestLeaseMS = max(t.latestLeaseMS, until)
	return until
}

// leasesExpired reports whether every lease that was handed out has passed for sure,
// also on a clock that is slow.
func (t *target) leasesExpired(now time.Duration) bool {
	if now < t.unknownLeasesEnd {
		return false
	}
	if t.latestLeaseMS == 0 {
		return true
	}
	elapsed := float64((now - t.clockReadAt).Milliseconds()) * (1 - maxClockDrift)
	return float64(t.clockMS)+elapsed > float64(t.latestLeaseMS+1)
}

func (t *target) setClock(now time.Duration, clock int64) {
	if clock > 0 {
		t.clockMS, t.clockReadAt = clock, now
	}
}

// SetTargets replaces what discovery lists.
func (p *Pool) SetTargets(now time.Duration, list []fleet.Target) {
	present := make(map[string]bool, len(list))
	if p.firstListedAt == 0 && len(list) > 0 {
		p.firstListedAt = now
	}
	for _, info := range list {
		present[info.ID] = true
		t := p.targets[info.ID]
		if t == nil {
			t = p.addTarget(info, now)
		}
		p.updateTarget(now, t, info)
	}
	for _, t := range slices.Clone(p.sortedTargets) {
		if !present[t.ID] && t.listed {
			t.listed, p.lastUnlistedAt = false, now
			p.log("target", "target", t.ID, "outcome", "not listed", "owned", t.owned, "runs", len(t.runs))
		}
	}
}

func (p *Pool) addTarget(info fleet.Target, now time.Duration) *target {
	t := &target{Target: info, nextAcquireAt: now, health: newHealth()}
	t.reset()
	p.targets[info.ID] = t
	at, _ := slices.BinarySearchFunc(p.sortedTargets, info.ID, func(t *target, id string) int { return strings.Compare(t.ID, id) })
	p.sortedTargets = slices.Insert(p.sortedTargets, at, t)
	return t
}

func (p *Pool) updateTarget(now time.Duration, t *target, info fleet.Target) {
	if info.Incarnation != t.Incarnation && info.Incarnation != 0 && t.Incarnation != 0 {
		if info.Incarnation < t.Incarnation {
			return // older than what the target itself has said
		}
		p.newIncarnation(now, t, info.Incarnation)
	}
	if info.Leaving != t.Leaving {
		p.log("target", "target", t.ID, "leaving", info.Leaving)
	}
	if info.Addr != t.Addr {
		t.nextAcquireAt = now
	}
	t.Target, t.listed = info, true
	if info.Leaving {
		t.step(statechart.TargetHealthOnLeave)
	} else {
		t.step(statechart.TargetHealthOnReturn)
	}
}

// removeUnlisted forgets the targets that are not listed any more once nothing that
// was ordered there can still be running.
func (p *Pool) removeUnlisted(now time.Duration) {
	for _, t := range slices.Clone(p.sortedTargets) {
		if t.listed || len(t.runs) > 0 {
			continue
		}
		delete(p.targets, t.ID)
		p.sortedTargets = slices.DeleteFunc(p.sortedTargets, func(o *target) bool { return o == t })
		p.log("target", "target", t.ID, "outcome", "forgotten")
	}
}

// newIncarnation drops what ran on an earlier incarnation. The next fence is higher, so
// that orders to the earlier one that arrive late are refused. Orders without an
// answer may have reached the new incarnation: its first list shows which did.
func (p *Pool) newIncarnation(now time.Duration, t *target, born int64) {
	p.log("target", "target", t.ID, "outcome", "reborn", "runs", len(t.runs))
	before := t.runs
	t.reset()
	t.health = newHealth()
	t.Incarnation, t.clockMS, t.clockReadAt, t.lastEnd = born, 0, 0, 0
	t.nextAcquireAt, t.unknownLeasesEnd = now, now+maxLease
	for _, r := range sortedRuns(before) {
		t.carryOver(r)
		if r.state == runRunning {
			p.releaseAndRequeue(now, r)
		}
	}
}

// maxLease is the longest lease that a target grants, with the rate of its
// clock and room for a call.
const maxLease = 1300 * time.Millisecond

// carryOver takes a run of an earlier incarnation over.
func (t *target) carryOver(r *run) {
	t.runs[r.key()] = r
	if r.task == nil {
		t.unclaimed++
		return
	}
	t.used = t.used.Plus(r.needs)
}
