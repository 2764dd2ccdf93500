package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/verdict"
)

// labelledTarget returns a target with a label that the others lack.
func labelledTarget(id, label string) fleet.Target {
	t := targetList(1)[0]
	t.ID, t.Addr, t.Labels = id, "a-"+id, []string{label}
	return t
}

// labelledJob returns a stored job that requires a label.
func labelledJob(id, label string) fleet.Job {
	j := storedJob(id, 1)
	j.Steps[0].RequiredLabel = label
	return j
}

// assertQueued fails the test if the job has started or ended.
func (b *harness) assertQueued(id string) {
	b.t.Helper()
	state, known := b.p.JobState(id)
	assert.Assert(b.t, known)
	assert.Equal(b.t, state, fleet.JobQueued)
}

// Guards against jobs that fail without a run: the only targets that they fit were away for longer
// than neverFitsAfter, and came back.
func TestStoredJobIsNotFailedWhileTheTargetsItFitsAreAway(t *testing.T) {
	b := newHarness(t, 1)
	labelled := labelledTarget("t01", "g")
	b.p.SetTargets(b.now, append(targetList(1), labelled))
	b.ownStored()
	b.p.SetTargets(b.now, targetList(1))
	b.submit(labelledJob("j", "g"))
	for range 4 {
		b.tick(neverFitsAfter)
		b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
		b.assertQueued("j")
	}

	b.p.SetTargets(b.now, append(targetList(1), labelled))
	b.tick(ms)
	b.acquireTargets()
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// Guards against jobs that fail without a run: no listed target had the room, and one that had it
// had been listed before.
func TestStoredJobIsNotFailedWhileTheLargeTargetsAreAway(t *testing.T) {
	b := newHarness(t, 1)
	large := labelledTarget("t01", "g")
	large.Capacity.MilliCPU = 64000
	b.p.SetTargets(b.now, append(targetList(1), large))
	b.ownStored()
	b.p.SetTargets(b.now, targetList(1))
	j := storedJob("j", 1)
	j.Steps[0].Needs.MilliCPU = 50000
	b.submit(j)
	b.tick(neverFitsAfter + fitCheckInterval)
	b.assertQueued("j")
}

// The room of one target and the memory of another make no target that the job fits.
func TestStoredJobThatNoSingleTargetCouldHoldFails(t *testing.T) {
	b := newHarness(t, 1)
	wide, deep := labelledTarget("t01", "g"), labelledTarget("t02", "g")
	wide.Capacity.MilliCPU, deep.Capacity.MemoryMB = 64000, 1<<18
	b.p.SetTargets(b.now, append(targetList(1), wide, deep))
	b.ownStored()
	j := storedJob("j", 1)
	j.Steps[0].Needs.MilliCPU, j.Steps[0].Needs.MemoryMB = 50000, 1<<18
	b.submit(j)
	b.tick(neverFitsAfter)
	saves := takeEffects[jobstore.Save](b)
	assert.Equal(t, len(saves), 1)
	assert.Equal(t, saves[0].Record.State, fleet.JobFailed)
}

// Guards against jobs that fail without a run in an outage of the store: targets that have come since
// are not listed.
func TestStoredJobIsNotFailedByAnOldListOfTargets(t *testing.T) {
	b := newHarness(t, 1)
	b.p.TargetsRead(b.now)
	b.ownStored()
	b.submit(labelledJob("j", "new"))
	for range 4 {
		b.tick(neverFitsAfter)
		b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
		b.assertQueued("j")
	}

	for range neverFitsAfter/time.Second + 1 {
		b.p.TargetsRead(b.now)
		b.tick(time.Second)
	}
	saves := takeEffects[jobstore.Save](b)
	assert.Equal(t, len(saves), 1, "the list is current again, and has no such target")
	assert.Equal(t, saves[0].Record.State, fleet.JobFailed)
}

// Guards against jobs that fail without a run: an entry that was started while their targets were away
// became the owner.
func TestStoredJobIsNotFailedByAnOwnerThatKnowsTheTargetsForShort(t *testing.T) {
	for name, change := range map[string]func(*fleet.Step){
		"label": func(s *fleet.Step) { s.RequiredLabel = "g" },
		"size":  func(s *fleet.Step) { s.Needs.MilliCPU = 50000 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.p.ExpectStored()
			b.p.TakeOverStored(b.now, b.now, 2, nil)
			b.p.RenewStored(b.now+time.Hour, b.now+time.Hour)
			j := storedJob("j", 1)
			change(&j.Steps[0])
			b.submit(j)
			b.assertQueued("j")
			b.tick(2 * neverFitsAfter)
			b.assertQueued("j")

			b.tick(knownForLong)
			saves := takeEffects[jobstore.Save](b)
			assert.Equal(t, len(saves), 1, "no target that it fits was listed in all this time")
			assert.Equal(t, saves[0].Record.State, fleet.JobFailed)
		})
	}
}

// Guards against jobs that fail while a layout with several pools is replaced: their targets were those
// of another pool, or the pool that knew them was replaced.
func TestStoredJobIsNotFailedForTargetsOfAnotherPool(t *testing.T) {
	rooms := NewRooms()
	other := New(DefaultSettings(), nil)
	other.ShareRooms(rooms)
	large := labelledTarget("t01", "g")
	large.Capacity.MilliCPU = 64000
	other.SetTargets(10*time.Second, []fleet.Target{large})
	b := newHarness(t, 1)
	b.p.ShareRooms(rooms)
	b.p.SetTargets(b.now, targetList(1))
	b.ownStored()
	j := labelledJob("j", "g")
	j.Steps[0].Needs.MilliCPU = 50000
	b.submit(j)
	b.tick(neverFitsAfter + fitCheckInterval)
	b.assertQueued("j")
}

// What peers tell of rooms is bounded, and never makes a job seem hopeless.
func TestRoomsAreBounded(t *testing.T) {
	r := NewRooms()
	step := fleet.Step{Count: 1}
	for i := range int64(3 * maxRoomsPerLabel) {
		target := labelledTarget("t", "g")
		target.Capacity.MilliCPU, target.Capacity.MemoryMB = 1000+i, 100000-i
		r.note(&target)
	}
	assert.Assert(t, len(r.Known()) <= 2*maxRoomsPerLabel)
	step.RequiredLabel, step.Needs.MilliCPU, step.Needs.MemoryMB = "g", 1000, 100000
	assert.Assert(t, r.fits("s", &step))
	step.RequiredLabel = "left out"
	assert.Assert(t, !r.fits("s", &step))
	for i := range 2 * maxRoomLabels {
		r.note(&fleet.Target{Service: "s", Labels: []string{string(rune('a' + i))}})
	}
	assert.Assert(t, len(r.Known()) <= maxRoomLabels+2*maxRoomsPerLabel)
	assert.Assert(t, r.fits("s", &step), "it may be one of the labels that were left out")
}

// Guards against best-effort jobs that are answered as failed: the targets that they fit were being replaced. Another
// pool may have such targets, and the caller may come again.
func TestBestEffortJobIsNotFailedWhileTheTargetsItFitsAreAway(t *testing.T) {
	b := newHarness(t, 1)
	b.p.SetTargets(b.now, append(targetList(1), labelledTarget("t01", "g")))
	b.p.SetTargets(b.now, targetList(1))
	j := labelledJob("j", "g")
	j.Stored = false
	b.submit(j)
	o := b.outcomes()["j"]
	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.NeverFits, "so that its coordinator tries other pools")
	assert.Assert(t, o.RetryAfter >= time.Second)

	never := labelledJob("never", "nowhere")
	never.Stored = false
	b.submit(never)
	assert.Equal(t, b.outcomes()["never"].Verdict, verdict.Failed)
}
