package pool

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// recurringJob is a job that repeats. Each occurrence runs as a stored job of its own; the
// records of all are saved as one.
type recurringJob struct {
	fleet.Job
	nextOccurrence  int // the first occurrence that was not due yet
	restored        bool
	started         bool
	openOccurrences map[int]*job
	records         map[int]fleet.Record // of occurrences that are not open
	seq             int
	savedSeq        int
}

// dueMargin is how much later than its due time an occurrence begins, for the
// differences between clocks.
const dueMargin = 20 * time.Millisecond

// SetWallClock tells the pool the time of day, Unix time in ms.
func (p *Pool) SetWallClock(now time.Duration, unixMS int64) {
	p.zeroUnixMS = unixMS - now.Milliseconds()
}

func (p *Pool) addRecurring(now time.Duration, j fleet.Job, rec fleet.Record, restored bool) {
	tm := &recurringJob{Job: j, restored: restored, openOccurrences: make(map[int]*job), records: make(map[int]fleet.Record)}
	maps.Copy(tm.records, rec.Occurrences)
	tm.started = len(rec.Occurrences) > 0
	p.stored.recurring[j.ID] = tm
	p.startDue(now, tm)
	tm.restored = false // what is due from now on was begun by nobody
}

// tickRecurring begins the occurrences that are due.
func (p *Pool) tickRecurring(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.stored.recurring)) {
		if tm := p.stored.recurring[id]; tm != nil {
			p.startDue(now, tm)
		}
	}
}

func (p *Pool) startDue(now time.Duration, tm *recurringJob) {
	if p.zeroUnixMS == 0 {
		return
	}
	wall := p.zeroUnixMS + (now - dueMargin).Milliseconds()
	for tm.nextOccurrence < tm.Occurrences && wall >= tm.DueMS(tm.nextOccurrence) && p.stored.recurring[tm.ID] == tm {
		k := tm.nextOccurrence
		tm.nextOccurrence++
		rec, known := tm.records[k]
		if known && rec.State.Ended() {
			continue
		}
		delete(tm.records, k)
		p.startOccurrence(now, tm, k, rec, time.Duration(wall-tm.DueMS(k))*time.Millisecond)
	}
	if tm.nextOccurrence == tm.Occurrences && len(tm.openOccurrences) == 0 && p.stored.recurring[tm.ID] == tm {
		p.endRecurring(now, tm, fleet.JobComplete)
	}
}

// startOccurrence takes in an occurrence that is due.
func (p *Pool) startOccurrence(now time.Duration, tm *recurringJob, k int, rec fleet.Record, late time.Duration) {
	one := tm.Job
	one.ID, one.Occurrences = fleet.OccurrenceID(tm.ID, k), 0
	j := p.newJob(now, Submit{Job: one, Waited: late})
	j.restored, j.formerRunsEnd, j.parent, j.occurrence = tm.restored, 0, tm, k
	tm.openOccurrences[k] = j
	p.jobs[j.ID] = j
	p.log("job", "job", tm.ID, "occurrence", k, "outcome", "due", "late_ms", late.Milliseconds())
	p.applyRecord(j, rec)
	p.reconcileStored(now, j)
}

// saveRecurring asks for the record of all occurrences to be saved.
func (p *Pool) saveRecurring(tm *recurringJob, state fleet.JobState) {
	rec := fleet.Record{State: state, Occurrences: maps.Clone(tm.records)}
	for k, j := range tm.openOccurrences {
		rec.Occurrences[k] = j.record(fleet.JobRunning)
	}
	tm.seq++
	p.emit(jobstore.Save{Job: tm.ID, Seq: tm.seq, Record: rec})
}

// endOccurrence notes how an occurrence ended. The job fails with the first that does.
func (p *Pool) endOccurrence(now time.Duration, j *job, state fleet.JobState) {
	tm := j.parent
	j.endRecorded = true
	delete(tm.openOccurrences, j.occurrence)
	tm.records[j.occurrence] = fleet.Record{State: state}
	switch {
	case p.stored.recurring[tm.ID] != tm:
	case state != fleet.JobComplete:
		p.endRecurring(now, tm, state)
	case tm.nextOccurrence == tm.Occurrences && len(tm.openOccurrences) == 0:
		p.endRecurring(now, tm, fleet.JobComplete)
	default:
		p.saveRecurring(tm, fleet.JobRunning)
	}
}

// endRecurring ends the job and what still runs of it.
func (p *Pool) endRecurring(now time.Duration, tm *recurringJob, state fleet.JobState) {
	delete(p.stored.recurring, tm.ID)
	for _, j := range tm.openOccurrences {
		delete(p.jobs, j.ID)
		j.queueState.remove(j)
		j.endRecorded = true
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "its job has ended")
		}
	}
	tm.seq++
	p.emit(jobstore.Save{Job: tm.ID, Seq: tm.seq, Record: fleet.Record{State: state}})
	p.stored.ended[tm.ID] = &endedJob{state: state, seq: tm.seq, endedAt: now}
	p.log("job", "job", tm.ID, "queue", tm.Queue.Name, "outcome", state.String(), "occurrences", tm.Occurrences)
}

func (tm *recurringJob) state() fleet.JobState {
	started := tm.started
	for _, j := range tm.openOccurrences {
		started = started || j.started
	}
	if started || len(tm.records) > 0 {
		return fleet.JobRunning
	}
	return fleet.JobQueued
}
