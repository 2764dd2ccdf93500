package pool

import (
	"math"
	"slices"
	"strings"
	"time"

	"currantstall/internal/coldstart"
	"currantstall/internal/fleet"
	"currantstall/internal/statechart"
	"currantstall/internal/structs"
)

// target is the state of one target. It lives from the first time that discovery lists
// the target until the target is unlisted and has no runs.
type target struct {
	fleet.Target
	listed         bool // listed by discovery
	neverListed    bool // known by the record of a job only
	acquirePolicy  AcquirePolicy
	wasUnreachable bool // became unreachable since it was last acquired
	probed         bool // has answered a probe since it was last unreachable
	silent         bool // accepts connections and answers nothing: its process may stand still
	askedAgain     bool // since its last answer, another hold followed at once on one that did not show whether it is silent
	lapse          lapseContact
	silentAt       time.Duration // when the last hold was sent that has shown it silent, 0 for none
	signs          lifeSigns
	signsAskedAt   time.Duration // when it was last asked for a sign of life
	contactShown   bool          // has shown since the leadership began whether it is silent
	contactKnown   bool          // an unanswered hold has shown since it was last owned whether it is silent
	lastContact    string        // what its last hold has shown of it, for the log
	lastOwnedAt    time.Duration // the last time at which it was owned

	fence           uint64 // fencing token of the orders sent to it
	owned           bool   // a report was received under the current fence
	nextAcquireAt   time.Duration
	askedAt         time.Duration     // when the last hold that acquires it, or prepares that, was sent
	fencedInARow    int               // acquisitions in a row that were rejected as fenced
	unansweredHolds int               // in a row
	reportedAt      time.Duration     // when the last report under this or an earlier ownership was requested
	refreshDue      bool              // an immediate report is wanted
	lastEnd         int64             // number of the last end that was processed
	ackedEnd        int64             // number of the last end that the target knows to be acknowledged
	heldEnds        []heldEnd         // ends that must not be acknowledged yet
	nextHoldAt      time.Duration     // earliest time of the next hold while ends are held
	used            structs.Resources // by runs of known size
	unclaimed       int               // unclaimed runs; their size is unknown
	gangPicked      int               // tasks of the gang that is being placed
	runs            map[runKey]*run
	clockMS         int64         // the target's clock, in ms; 0 if unknown
	clockReadAt     time.Duration // when the clock had that value
	latestLeaseMS   int64         // the latest lease granted, in ms of the target's clock
	// unknownLeasesEnd is when all leases have expired that other owners have granted, or that
	// were granted to an incarnation before its clock was known.
	unknownLeasesEnd time.Duration
	seenMS           int64             // the latest time of its clock at which it has answered
	lossRecorded     bool              // its runs are suspected of the loss of this incarnation
	lostAt           time.Duration     // when that was noticed
	lossSettled      bool              // the leases of its runs have expired since
	processGone      bool              // a hold has shown since its last answer that its process is not there
	replaced         bool              // another incarnation has answered at its own address, under another ID
	ownAddr          string            // where this incarnation has answered last; until then where it was listed first
	answered         bool              // it has answered there
	namedOpen        bool              // a record has named open runs on it
	namedLeaseMS     int64             // the latest lease that such a record names, in ms of the target's clock
	suspectRuns      int               // runs of tasks that were suspects at their start
	largestRoom      structs.Resources // largest capacity listed for this incarnation, by resource
	lastBirth        int64             // the latest of the incarnations that are over
	rowDueUntil      time.Duration     // until when its row may be that of an earlier incarnation; 0 if it is not
	rowDue           bool              // it gets no tasks for that reason

	ramp     coldstart.Ramp
	coldRoom int // tasks that it may get in this round, as far as it is cold

	holds holdsInFlight
	health
}

// holdsInFlight are the numbers of the holds that a target has not answered, 0 where there is
// none. The answers to all others are void.
type holdsInFlight struct {
	probe   uint64 // shows whether the target is in reach
	contact uint64 // shows whether the target is silent, and changes nothing else
	acquire uint64 // acquires the target
	wait    uint64 // waits for a run to end
	report  uint64 // asks for an immediate report
}

// lapseContact is what a fenced target has shown since the leases of its runs have expired.
type lapseContact struct {
	asks    int // holds that were sent to ask
	askedAt time.Duration
	shown   bool // it has answered one, or shown whether it is silent
	open    bool // it was logged that its runs are open
	saved   bool // the records of the stored jobs with runs on it name these
	// recallEnded is when a recall ended during which the target has shown nothing; 0 for none.
	recallEnded time.Duration
	returnedAt  time.Duration // when it was noticed that its process has run since; 0 if it was not
}

// acquiring reports whether a hold is in flight that acquires the target, or prepares that.
func (t *target) acquiring() bool { return t.holds.acquire != 0 || t.holds.probe != 0 }

// disown ends the ownership of the target. The answers to the holds that were sent under it, or
// to acquire it, are void.
func (t *target) disown() { t.owned, t.holds = false, holdsInFlight{} }

// runKey identifies a run on a target.
type runKey struct {
	taskID fleet.TaskID
	number int
}

// free returns the unused capacity of the target. It is empty while there are runs of
// unknown size.
func (t *target) free() structs.Resources {
	if t.unclaimed > 0 {
		return structs.Resources{}
	}
	return t.Capacity.Minus(t.used)
}

// reset drops the ownership of the target and all state that depends on it.
func (t *target) reset() {
	t.lastEnd, t.heldEnds = t.ackNumber(), nil
	t.disown()
	t.refreshDue = false
	t.fence, t.unansweredHolds, t.unclaimed, t.fencedInARow = 0, 0, 0, 0
	t.used, t.suspectRuns = structs.Resources{}, 0
	t.runs = make(map[runKey]*run)
	t.latestLeaseMS, t.wasUnreachable, t.probed = 0, false, false
	t.silent, t.contactKnown, t.askedAgain, t.contactShown = false, false, false, false
	t.lastContact, t.silentAt = "", 0
	t.lapse, t.signsAskedAt = lapseContact{}, 0
	t.namedOpen, t.namedLeaseMS = false, 0
	t.signs = lifeSigns{row: t.signs.row}
}

// withDrift returns how long a time on a target's clock takes, if that clock is slow.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - maxClockDrift)) }

// leaseUntil grants a lease of the given length from now and returns its end in ms of
// the target's clock, or 0 if that clock is unknown.
func (t *target) leaseUntil(now, length time.Duration) int64 {
	if t.clockMS == 0 {
		return 0
	}
	elapsed := float64((now - t.clockReadAt).Milliseconds()) * (1 - maxClockDrift) // the clock may be slow
	until := t.clockMS + int64(elapsed) + length.Milliseconds()
	t.latestLeaseMS = max(t.latestLeaseMS, until)
	return until
}

// leasesExpired reports whether all granted leases have expired for certain, even if the
// target's clock is slow.
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

// setClock sets the target's clock as read from an answer. It ignores 0, which means
// unknown.
func (t *target) setClock(now time.Duration, clock int64) {
	if clock > 0 {
		t.clockMS, t.clockReadAt = clock, now
		t.seenMS = max(t.seenMS, clock)
	}
}

// SetTargets replaces the list of targets that discovery has found.
func (p *Pool) SetTargets(now time.Duration, list []fleet.Target) {
	present, addrs := make(map[string]bool, len(list)), make(map[string]bool, len(list))
	if p.firstListedAt == 0 && len(list) > 0 {
		p.firstListedAt = now
	}
	if len(list) > 0 {
		p.rooms.begin(now)
	}
	for _, info := range list {
		present[info.ID], addrs[info.Addr] = true, true
		t := p.targets[info.ID]
		if t == nil {
			t = p.addTarget(info, now)
		}
		p.updateTarget(now, t, info)
	}
	for _, t := range slices.Clone(p.sortedTargets) {
		if !present[t.ID] && t.listed {
			t.listed = false
			p.askAfterUnlisting(t)
			if !t.replaced && !addrs[t.Addr] { // a successor at its address, once owned, proves that it is over
				p.lastUnlistedAt = now
			}
			p.log("target", "target", t.ID, "outcome", "not listed", "owned", t.owned, "runs", len(t.runs))
		}
	}
	p.tickRecall(now) // a target that has left is not waited for
}

// askAfterUnlisting makes a lost target that is not listed any more show again whether its VM accepts connections, at its own
// address: the row may have named another one.
func (p *Pool) askAfterUnlisting(t *target) {
	if !p.cfg.RowsRenewed || t.owned {
		return
	}
	if t.Addr != t.ownAddr {
		t.Addr, t.silent, t.signs.otherAnswered = t.ownAddr, false, false
	}
	t.contactKnown, t.signsAskedAt = false, 0
}

// addTarget adds a target that discovery listed for the first time.
func (p *Pool) addTarget(info fleet.Target, now time.Duration) *target {
	for _, o := range p.sortedTargets {
		if o.Addr == info.Addr {
			p.noteSucceededTarget(now, o)
		}
	}
	t := p.insertTarget(info, now)
	p.falls.stale = true
	p.reviewSuspicions(now, t)
	return t
}

// insertTarget adds a target that is not known.
func (p *Pool) insertTarget(info fleet.Target, now time.Duration) *target {
	t := &target{Target: info, nextAcquireAt: now, ownAddr: info.Addr, coldRoom: math.MaxInt, health: newHealth()}
	t.ColdFor = 0 // until it is noted
	t.reset()
	p.targets[info.ID] = t
	at, _ := slices.BinarySearchFunc(p.sortedTargets, info.ID, func(t *target, id string) int { return strings.Compare(t.ID, id) })
	p.sortedTargets = slices.Insert(p.sortedTargets, at, t)
	return t
}

// updateTarget applies the target's listed properties.
func (p *Pool) updateTarget(now time.Duration, t *target, info fleet.Target) {
	t.Intake = info.Intake
	if info.Incarnation == 0 {
		info.Incarnation = t.Incarnation // a row that lacks it shows no restart, and hides none
	}
	if info.Incarnation != t.Incarnation && t.Incarnation != 0 {
		if info.Incarnation <= max(t.Incarnation, t.lastBirth) {
			t.refreshDue = t.refreshDue || t.owned
			return // a row from before, unless the clock of the VM was set back, which the target's own answers show
		}
		p.newIncarnation(now, t, info.Incarnation)
		t.ownAddr = info.Addr
	}
	if info.Leaving != t.Leaving {
		p.log("target", "target", t.ID, "leaving", info.Leaving)
	}
	if info.Addr != t.Addr {
		t.nextAcquireAt = now
	}
	p.noteListed(t, &info)
	p.noteCold(now, t, info.ColdFor)
	t.Target, t.listed, t.neverListed, t.rowDueUntil = info, true, false, 0
	t.noteRoom(info.Capacity)
	if info.Leaving {
		t.step(statechart.TargetHealthOnLeave)
	} else {
		t.step(statechart.TargetHealthOnReturn)
	}
}

// removeUnlisted removes the targets that are no longer listed and have no run that
// could still be running.
func (p *Pool) removeUnlisted(now time.Duration) {
	for _, t := range slices.Clone(p.sortedTargets) {
		if t.listed || len(t.runs) > 0 || (t.silent || !p.isGone(t)) && p.awaitsSigns(now, t) {
			continue
		}
		delete(p.targets, t.ID)
		p.sortedTargets = slices.DeleteFunc(p.sortedTargets, func(o *target) bool { return o == t })
		p.log("target", "target", t.ID, "outcome", "forgotten")
	}
}

// newIncarnation handles a restart of the target: it drops the runs of the earlier
// incarnation. The next fence is higher, so that late orders to the earlier incarnation
// are rejected. Unanswered orders may have reached the new incarnation: its first report
// shows which did.
func (p *Pool) newIncarnation(now time.Duration, t *target, incarnation int64) {
	p.log("target", "target", t.ID, "outcome", "reborn", "runs", len(t.runs), "life", incarnation, "before", t.Incarnation)
	p.noteSucceededTarget(now, t)
	if !t.lossRecorded {
		t.lostAt = now
	}
	p.settleLoss(now, t)
	before, suspects := t.runs, suspectsOn(t)
	if !t.lossRecorded {
		p.noteLoss(now, t, suspects)
	}
	unreachable := t.wasUnreachable
	t.reset()
	t.wasUnreachable = unreachable // it may have another owner since
	t.health = newHealth()
	t.ramp.Reset()
	t.ColdFor = 0
	t.lastBirth = max(t.lastBirth, t.Incarnation)
	t.Incarnation, t.clockMS, t.clockReadAt, t.lastEnd, t.ackedEnd = incarnation, 0, 0, 0, 0
	t.nextAcquireAt, t.unknownLeasesEnd = now, now+maxLease
	t.seenMS, t.lossRecorded, t.replaced, t.largestRoom = 0, false, false, structs.Resources{}
	t.rowDueUntil = now + maxRowWait
	t.ownAddr, t.answered = t.Addr, false
	t.lossSettled, t.processGone = false, false
	t.signs = lifeSigns{}
	var over []*run // before the release of one stops the others of its gang
	for _, r := range sortedRuns(before) {
		t.carryOver(r)
		if r.state == runRunning {
			over = append(over, r)
		}
	}
	for _, r := range over {
		p.releaseAndRequeue(now, r, groundReborn)
	}
	p.suspectTasks(now, suspects, true)
	p.reviewSuspicions(now, t)
}

// maxRowWait is how long an incarnation that was noticed by its answers gets no tasks until its row is read: it may have less room
// than the one before, or other labels. The platform's store may be out of reach for longer.
const maxRowWait = 2 * time.Second

// maxLease is the longest lease that a target grants, including clock drift and the
// duration of a call.
const maxLease = 1300 * time.Millisecond

// carryOver keeps a run of an earlier incarnation and its used capacity.
func (t *target) carryOver(r *run) {
	t.runs[r.key()] = r
	if r.suspect {
		t.suspectRuns++
	}
	if r.task == nil {
		t.unclaimed++
		return
	}
	t.used = t.used.Plus(r.needs)
}
