// Package lostcontact decides what becomes of a job whose leader is out of reach: whether it is
// still worth to wait for that pool, whether another pool can answer in time, or whether its
// caller is to be told at once that the job may have run.
//
// The load that it answers: a data centre is cut off. Jobs that the leaders on the other side have got are
// answered by nobody, and their callers waited until their deadlines, 2 to 8 s, though it was known
// after 0.8 s that no pool in reach could answer the longer ones in time.
package lostcontact

import "time"

// Step is what to do with a job now.
type Step uint8

const (
	// Wait keeps the job for the pool that had it: its next leader may find the runs.
	Wait Step = iota + 1
	// Move submits the job to any pool that has a leader.
	Move
	// Answer tells the caller that the job may have run.
	Answer
)

// String returns the name of the step.
func (s Step) String() string {
	switch s {
	case Wait:
		return "wait"
	case Move:
		return "move"
	case Answer:
		return "answer"
	}
	return "unknown"
}

// SuccessorWithin is how long after the loss of its leader a pool may be led by another one that has
// targets. After that the targets are taken for cut off too.
const SuccessorWithin = 800 * time.Millisecond

// Job is a job that a lost leader had, or had been sent.
type Job struct {
	LostAt time.Duration
	// RunsUntil is when the last run has ended that the lost leaders may have been permitted.
	RunsUntil time.Duration
	// LeavesAt is when the caller stops waiting, 0 if it has not stated that.
	LeavesAt time.Duration
	// Work is the time from the first start to the end of the last task on idle targets, as declared.
	Work time.Duration
}

// leastWork is the part of the declared work that a job takes at least: declarations may be far off.
const leastWork = 0.5

// inTime reports whether a run that starts anew could end before the caller leaves.
func (j *Job) inTime(now time.Duration) bool {
	least := time.Duration(leastWork * float64(j.Work))
	return j.LeavesAt == 0 || max(now, j.RunsUntil)+least < j.LeavesAt
}

// Next decides about a job that no leader in reach has. serves is set if the pool that had it has a leader in reach with targets.
func Next(now time.Duration, j *Job, serves bool) Step {
	switch {
	case serves || now < j.LostAt+SuccessorWithin:
		return Wait
	case j.inTime(now):
		return Move
	}
	return Answer
}
