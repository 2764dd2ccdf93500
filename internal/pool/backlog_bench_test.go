package pool

import (
	"fmt"
	"testing"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// benchQueues is the number of queues among which the jobs of a backlog are divided.
const benchQueues = 4

// backlogJob returns the i-th stored job of a backlog.
func backlogJob(i int) fleet.Job {
	j := jobOf(fmt.Sprintf("%016x", i), queue(fmt.Sprint("q", i%benchQueues), i%benchQueues), 2, 14000, 60*ms)
	j.Stored = true
	return j
}

// newBacklogPool returns a pool with 48 full targets and stored jobs that wait, and the
// starts of the runs on the targets. A started job has one of its two tasks done.
func newBacklogPool(jobs int, started bool) (*Pool, time.Duration, []fleet.Start) {
	p, now := newBenchPool(48)
	p.ExpectStored()
	var restored []jobstore.StoredJob
	if started {
		for i := range jobs {
			restored = append(restored, restoredJob(backlogJob(i), 0))
		}
	}
	p.TakeOverStored(now, now-time.Minute, 1, restored)
	p.RenewStored(now+time.Hour, now+time.Hour)
	for i := len(restored); i < jobs+48; i++ {
		p.Submit(now, Submit{Job: backlogJob(i)})
	}
	now += time.Second // the takeover is over
	p.Tick(now)
	return p, now, startsOf(p)
}

// startsOf returns the starts among the effects of the pool.
func startsOf(p *Pool) []fleet.Start {
	var starts []fleet.Start
	for _, e := range p.Effects() {
		if s, ok := e.(fleet.Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

func benchmarkBacklog(b *testing.B, run func(b *testing.B, jobs int, started bool)) {
	for _, started := range []bool{false, true} {
		for _, jobs := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("%d/started=%v", jobs, started), func(b *testing.B) { run(b, jobs, started) })
		}
	}
}

// A round in which nothing has changed.
func BenchmarkTickWithBacklog(b *testing.B) {
	benchmarkBacklog(b, func(b *testing.B, jobs int, started bool) {
		p, now, _ := newBacklogPool(jobs, started)
		b.ReportAllocs()
		for b.Loop() {
			p.Tick(now)
			p.effects = p.effects[:0]
		}
	})
}

// A round in which a run ends, its record is saved, a job is submitted and a task is started.
func BenchmarkEndAndStartWithBacklog(b *testing.B) {
	benchmarkBacklog(b, func(b *testing.B, jobs int, started bool) {
		p, now, running := newBacklogPool(jobs, started)
		next, ends := 2*jobs+48, int64(0)
		b.ReportAllocs()
		for b.Loop() {
			s := running[0]
			running = running[1:]
			ends++
			p.processEnds(now, p.targets[s.Target.ID], []fleet.End{{Number: ends, Task: s.Task, Run: s.Run, Kind: fleet.EndDone}}, false)
			for _, e := range p.Effects() {
				if save, ok := e.(jobstore.Save); ok {
					p.RecordSaved(save.Job, save.Seq)
					if save.Record.State == fleet.JobComplete {
						p.Submit(now, Submit{Job: backlogJob(next)})
						next++
					}
				}
			}
			p.Tick(now)
			running = append(running, startsOf(p)...)
		}
		if len(running) == 0 {
			b.Fatal("no task was started")
		}
	})
}

// newTakeoverPool returns a pool that has just restored stored jobs and waits for the runs of
// their former owner.
func newTakeoverPool(jobs int, started bool) (*Pool, time.Duration) {
	p, now := newBenchPool(48)
	p.ExpectStored()
	var restored []jobstore.StoredJob
	for i := range jobs {
		if started {
			restored = append(restored, restoredJob(backlogJob(i), 0))
		} else {
			restored = append(restored, restoredJob(backlogJob(i)))
		}
	}
	p.TakeOverStored(now, now, 1, restored)
	p.RenewStored(now+time.Hour, now+time.Hour)
	return p, now
}

// A round of a new owner that may not start the restored jobs yet.
func BenchmarkTickAfterTakeoverOfBacklog(b *testing.B) {
	benchmarkBacklog(b, func(b *testing.B, jobs int, started bool) {
		p, now := newTakeoverPool(jobs, started)
		b.ReportAllocs()
		for b.Loop() {
			p.Tick(now)
			p.effects = p.effects[:0]
		}
	})
}

// A round of an owner that has not renewed its ownership in time, since the store is away.
func BenchmarkTickWithoutRenewalWithBacklog(b *testing.B) {
	benchmarkBacklog(b, func(b *testing.B, jobs int, started bool) {
		p, now, _ := newBacklogPool(jobs, started)
		p.stored.startsUntil = now
		b.ReportAllocs()
		for b.Loop() {
			p.Tick(now)
			p.effects = p.effects[:0]
		}
	})
}
