package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// timedJob repeats every 10 s from 5 s after the bench's time of day 0.
func timedJob(id string, repeats int) fleet.Job {
	j := storedJob(id, 1)
	j.Occurrences, j.FirstDueMS, j.IntervalMS = repeats, wallStart+5000, 10000
	return j
}

const wallStart = 1_700_000_000_000

func (b *bench) setWall() { b.p.SetWall(b.now, wallStart) }

func TestOccurrencesBeginWhenTheyAreDue(t *testing.T) {
	b := newBench(t, 1)
	b.ownStored()
	b.setWall()
	b.submit(timedJob("j", 2))
	b.tick(4900 * ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0, "before it is due")
	state, _ := b.p.JobState("j")
	assert.Equal(t, state, fleet.JobQueued)
	b.tick(200 * ms)
	first := b.startAll()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Task.Job, "j")
	b.tick(60 * ms)
	b.end(first[0], 1, fleet.EndDone, "")
	state, _ = b.p.JobState("j")
	assert.Equal(t, state, fleet.JobRunning)

	b.tick(10 * time.Second)
	second := b.startAll()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Task.Job, "j.1")
	b.end(second[0], 2, fleet.EndDone, "")
	saves := take[jobstore.Save](b)
	last := saves[len(saves)-1]
	assert.Equal(t, last.Record.State, fleet.JobComplete)
	b.p.Saved("j", last.Seq)
	state, _ = b.p.JobState("j")
	assert.Equal(t, state, fleet.JobComplete)
}

func TestOccurrencesMayOverlap(t *testing.T) {
	b := newBench(t, 2)
	b.ownStored()
	b.setWall()
	b.submit(timedJob("j", 3))
	b.tick(15100 * ms)
	assert.Equal(t, len(b.startAll()), 2, "the first is late, the second is due")
}

func TestRestoredOccurrencesGoOn(t *testing.T) {
	b := newBench(t, 1)
	b.setWall()
	b.now += 26 * time.Second // 0 to 2 are due
	r := restored(timedJob("j", 4))
	r.Record.Occurrences = map[int]fleet.Record{0: {State: fleet.JobComplete}, 1: {State: fleet.JobRunning}}
	b.ownStored(r)
	b.tick(successorWaits + 100*ms)
	starts := b.startAll()
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Task.Job, "j.1")
	assert.Equal(t, starts[1].Task.Job, "j.2")
}

func TestEndOfAnOccurrenceIsAcknowledgedOnceSaved(t *testing.T) {
	b := newBench(t, 1)
	b.ownStored()
	b.setWall()
	b.submit(timedJob("j", 2))
	b.tick(5100 * ms)
	first := b.startAll()[0]
	b.end(first, 1, fleet.EndDone, "")
	assert.Equal(t, b.p.targets["t00"].acknowledged(), int64(0))
	saves := take[jobstore.Save](b)
	assert.Equal(t, saves[len(saves)-1].Record.Occurrences[0].State, fleet.JobComplete)
	b.p.Saved("j", saves[len(saves)-1].Seq)
	assert.Equal(t, b.p.targets["t00"].acknowledged(), int64(1))
}

func TestCancelledTimedJobBeginsNothingMore(t *testing.T) {
	b := newBench(t, 1)
	b.ownStored()
	b.setWall()
	b.submit(timedJob("j", 3))
	b.tick(5100 * ms)
	assert.Equal(t, len(b.startAll()), 1)
	b.p.Cancel(b.now, "j")
	assert.Equal(t, len(take[fleet.Stop](b)), 1)
	saves := take[jobstore.Save](b)
	assert.Equal(t, saves[len(saves)-1].Record.State, fleet.JobCancelled)
	b.tick(20 * time.Second)
	assert.Equal(t, len(take[fleet.Start](b)), 0)
}
