package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
)

const (
	// maxJobsARound bounds the jobs that a round with four queues may look at, however many wait.
	maxJobsARound = 100
	// maxScansARound bounds the choices of a target, each of which looks at all targets, in a round
	// that has room for one task at most.
	maxScansARound = 10
)

// assertRoundIsBounded asserts that the last round has cost no more than one with few jobs.
func assertRoundIsBounded(t *testing.T, p *Pool) {
	t.Helper()
	assert.Assert(t, p.work.jobs <= maxJobsARound, "%d jobs looked at", p.work.jobs)
	assert.Assert(t, p.work.targets <= maxScansARound*len(p.sortedTargets), "%d targets looked at", p.work.targets)
}

// Owners of many waiting jobs were bound by rounds that looked at each of them.
func TestRoundDoesNotCostWhatWaits(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started=%v", started), func(t *testing.T) {
			p, now, running := newBacklogPool(4000, started)
			p.Tick(now)
			assertRoundIsBounded(t, p)

			s := running[0]
			p.processEnds(now, p.targets[s.Target.ID], []fleet.End{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndDone}}, false)
			p.Tick(now)
			assert.Equal(t, len(startsOf(p)), 1)
			assertRoundIsBounded(t, p)
		})
	}
}

// Rounds looked at all jobs that may not be started yet, after a takeover or while the store is away.
func TestRoundDoesNotCostWhatMayNotStart(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started=%v", started), func(t *testing.T) {
			p, now := newTakeoverPool(4000, started)
			p.Tick(now)
			assert.Equal(t, len(startsOf(p)), 0)
			assertRoundIsBounded(t, p)
			assert.Equal(t, p.Load().Waiting, 4000)
			p.Tick(now + formerRunsTimeout - ms)
			assert.Equal(t, len(startsOf(p)), 0, "a former owner's runs may last")
			p.Tick(now + formerRunsTimeout)
			assert.Equal(t, len(startsOf(p)), 96, "the wait is over")

			q, now, _ := newBacklogPool(4000, started)
			q.stored.startsUntil = now
			q.stored.renewedAt = 0
			q.Tick(now)
			assertRoundIsBounded(t, q)
		})
	}
}

// The same with best-effort jobs, whose deadlines pass.
func TestRoundDoesNotCostBestEffortJobsThatWait(t *testing.T) {
	p, now := newBenchPool(48)
	now += 2 * time.Second // nothing is shed early in a takeover
	p.leadingSince = now
	for i := range 4000 {
		j := backlogJob(i)
		j.Stored, j.Timeout = false, time.Minute
		j.Queue.Slack = 30 * time.Second
		p.Submit(now, Submit{Coordinator: "e1", Job: j, NeedsVouch: true, HeartbeatAt: now})
	}
	p.Tick(now)
	starts := startsOf(p)
	assert.Equal(t, len(starts), 96)
	p.Tick(now + ms)
	assertRoundIsBounded(t, p)
}

// Rounds looked at all jobs that had ended in the last seconds.
func TestRoundDoesNotCostWhatHasEnded(t *testing.T) {
	p, now, _ := newBacklogPool(0, false)
	for i := range 4000 {
		id := fmt.Sprint("done", i)
		p.stored.ended[id] = &endedJob{state: fleet.JobComplete, saved: true, endedAt: now}
		p.keptOutcomes[id] = keptOutcome{until: now + keepOutcomeFor}
	}
	for range 10 {
		now += ms
		p.Tick(now)
	}
	assertRoundIsBounded(t, p)
	now += keepEndedFor + time.Minute
	p.RenewStored(now, now+time.Hour)
	p.Tick(now)
	assert.Equal(t, len(p.stored.ended)+len(p.keptOutcomes), 0, "ended jobs were not forgotten")
}

// assertNothingIsMissed asserts that no job that may have started waits while a target has room for
// it, and that the queues know their jobs.
func assertNothingIsMissed(t *testing.T, p *Pool) {
	t.Helper()
	for _, q := range p.rankedQueues {
		assert.Assert(t, slices.IsSortedFunc(q.waiting, compareJobs))
		for _, j := range q.waiting {
			assert.Assert(t, j.queued && j.waiting > 0 && p.jobs[j.ID] == j, "%s does not wait", j.ID)
			assert.Assert(t, j.Stored || q.deadlines[j.deadlineIndex] == j, "%s has no deadline", j.ID)
			if !j.mayHaveStarted || !p.mayStart(p.lastTick, j) {
				continue
			}
			for _, tasks := range j.steps {
				for _, tk := range tasks {
					assert.Assert(t, tk.state != taskWaiting || p.chooseTarget(tk, "") == nil, "%s waits while a target has room", tk.id)
				}
			}
		}
	}
}

// Rounds that skip jobs must not skip one that finds room.
func TestRoomIsNotMissedForJobsThatWait(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTargetSim(t, rapid.IntRange(1, 6).Draw(rt, "targets"))
		p.ownStored()
		stored := rapid.IntRange(1, 4).Draw(rt, "one in so many is stored")
		for i := range 60 {
			j := jobOf(fmt.Sprintf("j%d", i), queue(fmt.Sprint("q", i%3), i%3), rapid.IntRange(1, 6).Draw(rt, "tasks"),
				int64(rapid.IntRange(1, 32).Draw(rt, "cores"))*1000, time.Duration(rapid.IntRange(5, 60).Draw(rt, "ms"))*ms)
			j.Steps[0].Needs.MemoryMB = int64(rapid.SampledFrom([]int{64, 1 << 15, 1 << 16, 1 << 17}).Draw(rt, "MB"))
			j.Stored = i%stored == 0
			p.submitJob(j)
			p.step()
			p.tick(0)
			assertNothingIsMissed(t, p.p)
		}
	})
}

// The links to keep were found by a walk of all jobs, with stored jobs among them, 50 times a
// second.
func TestCoordinatorsAreThoseOfJobsThatHaveNotEnded(t *testing.T) {
	b := newHarness(t, 1)
	b.ownStored()
	names := func() []string {
		found := []string{}
		b.p.Coordinators(func(name string) { found = append(found, name) })
		slices.Sort(found)
		return found
	}
	j := jobOf("j", queue("q", 0), 1, 14000, 60*ms)
	b.submit(j)
	b.submit(jobOf("k", queue("q", 0), 1, 14000, 60*ms))
	b.p.Submit(b.now, Submit{Job: storedJob("stored", 1)})
	assert.DeepEqual(t, names(), []string{"e1"})
	b.p.Submit(b.now, Submit{Coordinator: "e2", Job: j, MayHaveRun: true})
	assert.DeepEqual(t, names(), []string{"e1", "e2"})
	b.p.Cancel(b.now, "k")
	assert.DeepEqual(t, names(), []string{"e2"})
	b.p.Abandon(b.now, "e2", "j")
	b.p.Cancel(b.now, "stored")
	assert.DeepEqual(t, names(), []string{})
}
