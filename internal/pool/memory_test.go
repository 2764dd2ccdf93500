package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// outcomes returns the outcomes of jobs among effects.
func outcomes(effects []Effect) map[string]fleet.Outcome {
	m := make(map[string]fleet.Outcome)
	for _, e := range effects {
		if e, ok := e.(Ended); ok {
			m[e.Job] = e.Outcome
		}
	}
	return m
}

func TestJobsWithoutRoomAreRejected(t *testing.T) {
	const limit = 1 << 20
	s := DefaultSettings()
	s.Memory = NewMemory(limit)
	p := New(s, nil)
	p.BecomeLeader(0, 1)
	large := jobOf("", queue("q", 0), 1000, 100, 60*ms)
	size := SizeOf(&large)
	fit := int(limit / largeShare / size.Large)
	submit := func(id string, j fleet.Job, mayHaveRun bool) {
		j.ID = id
		p.Submit(ms, Submit{Coordinator: "e", Job: j, MayHaveRun: mayHaveRun})
	}
	for i := range fit {
		submit(fmt.Sprint("l", i), large, true) // stays, as it may run elsewhere
	}
	assert.Equal(t, len(p.jobs), fit)
	submit("over", large, false)
	submit("over, may run", large, true)
	submit("ordinary", jobOf("", queue("q", 0), 8, 100, 60*ms), true)
	got := outcomes(p.Effects())
	assert.DeepEqual(t, got, map[string]fleet.Outcome{
		"over":          {Verdict: verdict.NotRun, Reason: verdict.MemoryFull, RetryAfter: time.Second},
		"over, may run": {Verdict: verdict.MayHaveRun, Reason: verdict.MemoryFull, RetryAfter: time.Second},
	})
	assert.Equal(t, len(p.jobs), fit+1)

	p.Cancel(2*ms, "l0")
	assert.Assert(t, s.Memory.fits(size), "the memory of a job that has ended is free")
	p.StepDown()
	assert.DeepEqual(t, *s.Memory.Room(), JobSize{limit - limit/largeShare, limit / largeShare})
}

func TestOccurrencesWaitForRoom(t *testing.T) {
	s := DefaultSettings()
	j := jobOf("r", queue("q", 0), 100, 100, 60*ms)
	j.Stored, j.Occurrences, j.FirstDueMS, j.IntervalMS = true, 50, 1, 1
	size := SizeOf(&j)
	const room = 3
	s.Memory = NewMemory(largeShare * (room*size.Large + 100)) // the IDs of occurrences are longer
	p := New(s, nil)
	p.BecomeLeader(0, 1)
	p.SetWallClock(0, 1_000_000)
	p.TakeOverStored(0, 0, 1, nil)
	p.RenewStored(0, time.Hour)
	p.Submit(ms, Submit{Job: j})
	assert.Equal(t, len(p.jobs), room, "all are due")
	p.Tick(2 * ms)
	assert.Equal(t, len(p.jobs), room)

	s.Memory.take(JobSize{Large: room * size.Large}) // of other jobs
	for id := range p.jobs {
		p.endOccurrence(3*ms, p.jobs[id], fleet.JobComplete)
		p.dropJob(p.jobs[id])
	}
	p.Tick(4 * ms)
	assert.Equal(t, len(p.jobs), 1, "one occurrence never waits")
}
