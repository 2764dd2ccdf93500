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
	listed  bool // by discovery
	claim   Claim
	wasOut  bool          // out of reach since it was owned last
	ownedAt time.Duration // when it was owned last

	fence    uint64
	owned    bool // a list was read under the fence
	asking   bool // a hold is out that would make it owned
	askAt    time.Duration
	lostTo   int // fences lost in a row to another owner
	holding  bool
	misses   int // holds without an answer in a row
	lookDue  bool
	looking  bool
	seen     int64 // number of the last end that was taken in
	unacked  bool  // ends were taken in and not acknowledged yet
	held     []heldEnd
	holdAt   time.Duration // from when a hold may be sent while ends are held
	used     structs.Resources
	unknown  int // foreign runs of unknown size
	picked   int // tasks of the gang that is being placed
	runs     map[runKey]*run
	clock    int64         // of the target, in ms
	clockAt  time.Duration // when it was read
	leaseMax int64         // the latest lease handed out, in ms of its clock
	// lapseAfter is when all has lapsed that an incarnation runs whose clock is
	// not known.
	lapseAfter time.Duration

	health
}

type runKey struct {
	task fleet.TaskID
	n    int
}

// free returns the room that is not taken. A run of unknown size takes all.
func (t *target) free() structs.Resources {
	if t.unknown > 0 {
		return structs.Resources{}
	}
	return t.Capacity.Minus(t.used)
}

// forget drops ownership and all that depends on it.
func (t *target) forget() {
	t.seen, t.held = t.acknowledged(), nil
	t.owned, t.asking, t.holding, t.lookDue, t.looking, t.unacked = false, false, false, false, false, false
	t.fence, t.misses, t.unknown, t.lostTo = 0, 0, 0, 0
	t.used = structs.Resources{}
	t.runs = make(map[runKey]*run)
	t.leaseMax, t.wasOut = 0, false
}

// lease returns a lease from now, in ms of the target's clock.
func (t *target) lease(now, length time.Duration) int64 {
	if t.clock == 0 {
		return 0
	}
	until := t.clock + (now - t.clockAt).Milliseconds() + length.Milliseconds()
	t.leaseMax = max(t.leaseMax, until)
	return until
}

// lapsed reports whether every lease that was handed out has passed for sure,
// also on a clock that is slow.
func (t *target) lapsed(now time.Duration) bool {
	if now < t.lapseAfter {
		return false
	}
	if t.leaseMax == 0 {
		return true
	}
	elapsed := float64((now - t.clockAt).Milliseconds()) * (1 - clockRate)
	return float64(t.clock)+elapsed > float64(t.leaseMax+1)
}

func (t *target) readClock(now time.Duration, clock int64) {
	if clock > 0 {
		t.clock, t.clockAt = clock, now
	}
}

// SetTargets replaces what discovery lists.
func (p *Pool) SetTargets(now time.Duration, list []fleet.Target) {
	present := make(map[string]bool, len(list))
	if p.firstListed == 0 && len(list) > 0 {
		p.firstListed = now
	}
	for _, info := range list {
		present[info.ID] = true
		t := p.targets[info.ID]
		if t == nil {
			t = p.add(info, now)
		}
		p.update(now, t, info)
	}
	for _, t := range slices.Clone(p.order) {
		if !present[t.ID] && t.listed {
			t.listed, p.lastVanished = false, now
			p.log("target", "target", t.ID, "outcome", "not listed", "owned", t.owned, "runs", len(t.runs))
		}
	}
}

func (p *Pool) add(info fleet.Target, now time.Duration) *target {
	t := &target{Target: info, askAt: now, health: newHealth()}
	t.forget()
	p.targets[info.ID] = t
	at, _ := slices.BinarySearchFunc(p.order, info.ID, func(t *target, id string) int { return strings.Compare(t.ID, id) })
	p.order = slices.Insert(p.order, at, t)
	return t
}

func (p *Pool) update(now time.Duration, t *target, info fleet.Target) {
	if info.Incarnation != t.Incarnation && info.Incarnation != 0 && t.Incarnation != 0 {
		if info.Incarnation < t.Incarnation {
			return // older than what the target itself has said
		}
		p.reborn(now, t, info.Incarnation)
	}
	if info.Leaving != t.Leaving {
		p.log("target", "target", t.ID, "leaving", info.Leaving)
	}
	if info.Addr != t.Addr {
		t.askAt = now
	}
	t.Target, t.listed = info, true
	if info.Leaving {
		t.step(statechart.TargetHealthOnLeave)
	} else {
		t.step(statechart.TargetHealthOnReturn)
	}
}

// forgetGone forgets the targets that are not listed any more once nothing that
// was ordered there can still be running.
func (p *Pool) forgetGone(now time.Duration) {
	for _, t := range slices.Clone(p.order) {
		if t.listed || len(t.runs) > 0 {
			continue
		}
		delete(p.targets, t.ID)
		p.order = slices.DeleteFunc(p.order, func(o *target) bool { return o == t })
		p.log("target", "target", t.ID, "outcome", "forgotten")
	}
}

// reborn drops what ran on an earlier incarnation. The next fence is higher, so
// that orders to the earlier one that arrive late are refused. Orders without an
// answer may have reached the new incarnation: its first list shows which did.
func (p *Pool) reborn(now time.Duration, t *target, born int64) {
	p.log("target", "target", t.ID, "outcome", "reborn", "runs", len(t.runs))
	before := t.runs
	t.forget()
	t.health = newHealth()
	t.Incarnation, t.clock, t.clockAt, t.seen = born, 0, 0, 0
	t.askAt, t.lapseAfter = now, now+longestLease
	for _, r := range sortedRuns(before) {
		t.restore(r)
		if r.state == runRunning {
			p.runGone(now, r)
		}
	}
}

// longestLease is the longest lease that a target grants, with the rate of its
// clock and room for a call.
const longestLease = 1300 * time.Millisecond

// restore takes a run of an earlier incarnation over.
func (t *target) restore(r *run) {
	t.runs[r.key()] = r
	if r.owner == nil {
		t.unknown++
		return
	}
	t.used = t.used.Plus(r.needs)
}
