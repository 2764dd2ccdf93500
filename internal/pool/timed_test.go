package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// recurringTestJob returns a job with an occurrence every 10 s, the first one 5 s after
// testStartUnixMS.
func recurringTestJob(id string, repeats int) fleet.Job {
	j := storedJob(id, 1)
	j.Occurrences, j.FirstDueMS, j.IntervalMS = repeats, testStartUnixMS+5000, 10000
	return j
}

// testStartUnixMS is the time of day when setWallClock is called.
const testStartUnixMS = 1_700_000_000_000

func (b *harness) setWallClock() { b.p.SetWallClock(b.now, testStartUnixMS) }

func TestOccurrencesStartWhenDue(t *testing.T) {
	b := newHarness(t, 1)
	b.ownStored()
	b.setWallClock()
	b.submit(recurringTestJob("j", 2))
	b.tick(4900 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started before it is due")
	state, _ := b.p.JobState("j")
	assert.Equal(t, state, fleet.JobQueued)
	b.tick(200 * ms)
	first := b.acceptStarts()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Task.Job, "j")
	b.tick(60 * ms)
	b.endRun(first[0], 1, fleet.EndDone, "")
	state, _ = b.p.JobState("j")
	assert.Equal(t, state, fleet.JobRunning)

	b.tick(10 * time.Second)
	second := b.acceptStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Task.Job, "j.1")
	b.endRun(second[0], 2, fleet.EndDone, "")
	saves := takeEffects[jobstore.Save](b)
	last := saves[len(saves)-1]
	assert.Equal(t, last.Record.State, fleet.JobComplete)
	b.p.RecordSaved("j", last.Seq)
	state, _ = b.p.JobState("j")
	assert.Equal(t, state, fleet.JobComplete)
}

func TestOccurrencesMayOverlap(t *testing.T) {
	b := newHarness(t, 2)
	b.ownStored()
	b.setWallClock()
	b.submit(recurringTestJob("j", 3))
	b.tick(15100 * ms)
	assert.Equal(t, len(b.acceptStarts()), 2, "the first occurrence is late, the second is due")
}

func TestRestoredOccurrencesContinue(t *testing.T) {
	b := newHarness(t, 1)
	b.setWallClock()
	b.now += 26 * time.Second // occurrences 0 to 2 are due
	r := restoredJob(recurringTestJob("j", 4))
	r.Record.Occurrences = map[int]fleet.Record{0: {State: fleet.JobComplete}, 1: {State: fleet.JobRunning}}
	b.ownStored(r)
	b.tick(formerRunsTimeout + 100*ms)
	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Task.Job, "j.1")
	assert.Equal(t, starts[1].Task.Job, "j.2")
}

func TestOccurrenceEndIsAcknowledgedOnceSaved(t *testing.T) {
	b := newHarness(t, 1)
	b.ownStored()
	b.setWallClock()
	b.submit(recurringTestJob("j", 2))
	b.tick(5100 * ms)
	first := b.acceptStarts()[0]
	b.endRun(first, 1, fleet.EndDone, "")
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(0))
	saves := takeEffects[jobstore.Save](b)
	assert.Equal(t, saves[len(saves)-1].Record.Occurrences[0].State, fleet.JobComplete)
	b.p.RecordSaved("j", saves[len(saves)-1].Seq)
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(1))
}

func TestCancelledRecurringJobStartsNoMoreOccurrences(t *testing.T) {
	b := newHarness(t, 1)
	b.ownStored()
	b.setWallClock()
	b.submit(recurringTestJob("j", 3))
	b.tick(5100 * ms)
	assert.Equal(t, len(b.acceptStarts()), 1)
	b.p.Cancel(b.now, "j")
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 1)
	saves := takeEffects[jobstore.Save](b)
	assert.Equal(t, saves[len(saves)-1].Record.State, fleet.JobCancelled)
	b.tick(20 * time.Second)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}
