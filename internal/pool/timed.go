package pool

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// recurringJob is a job with several occurrences. Each occurrence runs as a stored job
// of its own; the records of all are saved as one.
type recurringJob struct {
	fleet.Job
	nextOccurrence  int  // the first occurrence that was not started because it was not due
	restored        bool // taken over from a former owner
	restoring       bool // being taken over: the occurrences that are started now were due before
	started         bool
	openOccurrences map[int]*job         // occurrences that were started and have not ended
	records         map[int]fleet.Record // of other occurrences
	seq             int                  // of the last record emitted to be saved
	savedSeq        int                  // of the last record known to be saved
}

// dueMargin is how long after its due time an occurrence is started, to allow for
// differences between clocks.
const dueMargin = 20 * time.Millisecond

// maxClockStep is how far the clock of a former owner may have been ahead of this owner's.
const maxClockStep = 10 * time.Second

// SetWallClock sets the time of day at the pool's time now, as Unix time in ms. No
// occurrence starts before it is called.
func (p *Pool) SetWallClock(now time.Duration, unixMS int64) {
	p.zeroUnixMS = unixMS - now.Milliseconds()
}

// addRecurring adds a recurring job with the progress of its record.
func (p *Pool) addRecurring(now time.Duration, j fleet.Job, rec fleet.Record, restored bool) {
	rj := &recurringJob{Job: j, restored: restored, restoring: restored, openOccurrences: make(map[int]*job), records: make(map[int]fleet.Record)}
	maps.Copy(rj.records, rec.Occurrences)
	rj.started = len(rec.Occurrences) > 0
	p.stored.recurring[j.ID] = rj
	p.startDue(now, rj)
	rj.restoring = false
}

// tickRecurring starts the due occurrences of all recurring jobs.
func (p *Pool) tickRecurring(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.stored.recurring)) {
		if rj := p.stored.recurring[id]; rj != nil {
			p.startDue(now, rj)
		}
	}
}

// startDue starts the due occurrences of a recurring job, and ends the job after its
// last occurrence. While others are open, occurrences wait for memory.
func (p *Pool) startDue(now time.Duration, rj *recurringJob) {
	if p.zeroUnixMS == 0 {
		return
	}
	wall, size := p.zeroUnixMS+(now-dueMargin).Milliseconds(), SizeOf(&rj.Job)
	for rj.nextOccurrence < rj.Occurrences && wall >= rj.DueMS(rj.nextOccurrence) && p.stored.recurring[rj.ID] == rj {
		k := rj.nextOccurrence
		rec, known := rj.records[k]
		if !known && len(rj.openOccurrences) > 0 && !p.cfg.Memory.fits(size) {
			break // it waits for room
		}
		rj.nextOccurrence++
		if known && rec.State.Ended() {
			continue
		}
		delete(rj.records, k)
		p.startOccurrence(now, rj, k, rec, time.Duration(wall-rj.DueMS(k))*time.Millisecond)
	}
	if rj.nextOccurrence == rj.Occurrences && len(rj.openOccurrences) == 0 && p.stored.recurring[rj.ID] == rj {
		p.endRecurring(now, rj, fleet.JobComplete)
	}
}

// comesLater reports whether a former owner, whose clock was ahead, may have started an occurrence that is
// not due yet by this owner's clock.
func (p *Pool) comesLater(rj *recurringJob, id string) bool {
	k := 0
	if _, number, later := strings.Cut(id, "."); later {
		var err error
		if k, err = strconv.Atoi(number); err != nil {
			return false
		}
	}
	if k < rj.nextOccurrence || k >= rj.Occurrences || rj.records[k].State.Ended() {
		return false
	}
	return p.zeroUnixMS == 0 || p.zeroUnixMS+(p.lastTick+maxClockStep).Milliseconds() >= rj.DueMS(k)
}

// startOccurrence adds the job of an occurrence that is due.
func (p *Pool) startOccurrence(now time.Duration, rj *recurringJob, k int, rec fleet.Record, late time.Duration) {
	occurrence := rj.Job
	occurrence.ID, occurrence.Occurrences = fleet.OccurrenceID(rj.ID, k), 0
	j := p.newJob(now, Submit{Job: occurrence, Waited: late})
	// A former owner whose clock was ahead may have started an occurrence that is due only now.
	j.restored = rj.restoring || rj.restored && !p.stored.formerOver[j.longRunningOnly]
	j.formerRunsEnd, j.parent, j.occurrence = 0, rj, k
	p.awaitFormerOwner(j)
	rj.openOccurrences[k] = j
	p.addJob(j)
	p.log("job", "job", rj.ID, "occurrence", k, "outcome", "due", "late_ms", late.Milliseconds())
	p.applyRecord(j, rec)
	p.restoreOpenRuns(now, j, rec.Open)
	p.reconcileStored(now, j, rec)
}

// saveRecurring emits the records of all occurrences to be saved as one.
func (p *Pool) saveRecurring(rj *recurringJob, state fleet.JobState) {
	rec := fleet.Record{State: state, Occurrences: maps.Clone(rj.records)}
	left := fleet.MaxOpenTargets
	for _, r := range rj.records {
		left -= len(r.Open)
	}
	for _, k := range slices.Sorted(maps.Keys(rj.openOccurrences)) {
		r := rj.openOccurrences[k].record(fleet.JobRunning, left)
		left -= len(r.Open)
		rec.Occurrences[k] = r
	}
	rj.seq++
	p.emit(jobstore.Save{Job: rj.ID, Seq: rj.seq, Epoch: p.stored.epoch, Record: rec})
}

// endOccurrence records how an occurrence ended. The recurring job fails with its first
// failed occurrence.
func (p *Pool) endOccurrence(now time.Duration, j *job, state fleet.JobState) {
	rj := j.parent
	j.endRecorded = true
	delete(rj.openOccurrences, j.occurrence)
	rj.records[j.occurrence] = fleet.Record{State: state}
	switch {
	case p.stored.recurring[rj.ID] != rj:
	case state != fleet.JobComplete:
		p.endRecurring(now, rj, state)
	case rj.nextOccurrence == rj.Occurrences && len(rj.openOccurrences) == 0:
		p.endRecurring(now, rj, fleet.JobComplete)
	default:
		p.saveRecurring(rj, fleet.JobRunning)
	}
}

// endRecurring ends a recurring job and stops the runs of its open occurrences.
func (p *Pool) endRecurring(now time.Duration, rj *recurringJob, state fleet.JobState) {
	delete(p.stored.recurring, rj.ID)
	for _, j := range rj.openOccurrences {
		p.dropJob(j)
		j.queueState.remove(j)
		j.endRecorded = true
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "job ended")
		}
	}
	for id := range p.stored.unknownJobEnds {
		if fleet.BaseJobID(id) == rj.ID {
			p.takeHeldEnds(id)
		}
	}
	rj.seq++
	p.emit(jobstore.Save{Job: rj.ID, Seq: rj.seq, Epoch: p.stored.epoch, Record: fleet.Record{State: state}})
	p.stored.ended[rj.ID] = &endedJob{state: state, seq: rj.seq, endedAt: now}
	p.log("job", "job", rj.ID, "queue", rj.Queue.Name, "outcome", state.String(), "occurrences", rj.Occurrences)
}

// state returns the state of a recurring job that has not ended.
func (rj *recurringJob) state() fleet.JobState {
	started := rj.started
	for _, j := range rj.openOccurrences {
		started = started || j.started
	}
	if started || len(rj.records) > 0 {
		return fleet.JobRunning
	}
	return fleet.JobQueued
}
