package pool

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// timed is a job that repeats. Each occurrence runs as a stored job of its own; the
// records of all are saved as one.
type timed struct {
	fleet.Job
	next     int // the first occurrence that was not due yet
	restored bool
	started  bool
	open     map[int]*job
	records  map[int]fleet.Record // of occurrences that are not open
	seq      int
	savedSeq int
}

// dueMargin is how much later than its due time an occurrence begins, for the
// differences between clocks.
const dueMargin = 20 * time.Millisecond

// SetWall tells the pool the time of day, Unix time in ms.
func (p *Pool) SetWall(now time.Duration, unixMS int64) { p.wallMS = unixMS - now.Milliseconds() }

func (p *Pool) takeTimed(now time.Duration, j fleet.Job, rec fleet.Record, restored bool) {
	tm := &timed{Job: j, restored: restored, open: make(map[int]*job), records: make(map[int]fleet.Record)}
	maps.Copy(tm.records, rec.Occurrences)
	tm.started = len(rec.Occurrences) > 0
	p.stored.timed[j.ID] = tm
	p.beginDue(now, tm)
	tm.restored = false // what is due from now on was begun by nobody
}

// tickTimed begins the occurrences that are due.
func (p *Pool) tickTimed(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.stored.timed)) {
		if tm := p.stored.timed[id]; tm != nil {
			p.beginDue(now, tm)
		}
	}
}

func (p *Pool) beginDue(now time.Duration, tm *timed) {
	if p.wallMS == 0 {
		return
	}
	wall := p.wallMS + (now - dueMargin).Milliseconds()
	for tm.next < tm.Occurrences && wall >= tm.DueMS(tm.next) && p.stored.timed[tm.ID] == tm {
		k := tm.next
		tm.next++
		rec, known := tm.records[k]
		if known && rec.State.Ended() {
			continue
		}
		delete(tm.records, k)
		p.begin(now, tm, k, rec, time.Duration(wall-tm.DueMS(k))*time.Millisecond)
	}
	if tm.next == tm.Occurrences && len(tm.open) == 0 && p.stored.timed[tm.ID] == tm {
		p.endTimed(now, tm, fleet.JobComplete)
	}
}

// begin takes in an occurrence that is due.
func (p *Pool) begin(now time.Duration, tm *timed, k int, rec fleet.Record, late time.Duration) {
	one := tm.Job
	one.ID, one.Occurrences = fleet.OccurrenceID(tm.ID, k), 0
	j := p.newJob(now, Submit{Job: one, Waited: late})
	j.restored, j.safeAt, j.parent, j.occurrence = tm.restored, 0, tm, k
	tm.open[k] = j
	p.jobs[j.ID] = j
	p.log("job", "job", tm.ID, "occurrence", k, "outcome", "due", "late_ms", late.Milliseconds())
	p.applyRecord(j, rec)
	p.settleStored(now, j)
}

// saveTimed asks for the record of all occurrences to be saved.
func (p *Pool) saveTimed(tm *timed, state fleet.JobState) {
	rec := fleet.Record{State: state, Occurrences: maps.Clone(tm.records)}
	for k, j := range tm.open {
		rec.Occurrences[k] = j.record(fleet.JobRunning)
	}
	tm.seq++
	p.emit(jobstore.Save{Job: tm.ID, Seq: tm.seq, Record: rec})
}

// endOccurrence notes how an occurrence ended. The job fails with the first that does.
func (p *Pool) endOccurrence(now time.Duration, j *job, state fleet.JobState) {
	tm := j.parent
	j.settled = true
	delete(tm.open, j.occurrence)
	tm.records[j.occurrence] = fleet.Record{State: state}
	switch {
	case p.stored.timed[tm.ID] != tm:
	case state != fleet.JobComplete:
		p.endTimed(now, tm, state)
	case tm.next == tm.Occurrences && len(tm.open) == 0:
		p.endTimed(now, tm, fleet.JobComplete)
	default:
		p.saveTimed(tm, fleet.JobRunning)
	}
}

// endTimed ends the job and what still runs of it.
func (p *Pool) endTimed(now time.Duration, tm *timed, state fleet.JobState) {
	delete(p.stored.timed, tm.ID)
	for _, j := range tm.open {
		delete(p.jobs, j.ID)
		j.class.remove(j)
		j.settled = true
		for _, r := range j.runs() {
			p.stop(now, r, "its job has ended")
		}
	}
	tm.seq++
	p.emit(jobstore.Save{Job: tm.ID, Seq: tm.seq, Record: fleet.Record{State: state}})
	p.stored.ended[tm.ID] = &endedJob{state: state, seq: tm.seq, at: now}
	p.log("job", "job", tm.ID, "queue", tm.Queue.Name, "outcome", state.String(), "occurrences", tm.Occurrences)
}

func (tm *timed) state() fleet.JobState {
	started := tm.started
	for _, j := range tm.open {
		started = started || j.started
	}
	if started || len(tm.records) > 0 {
		return fleet.JobRunning
	}
	return fleet.JobQueued
}
