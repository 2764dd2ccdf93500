package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// AnswerMemory bounds the memory that the answers of all jobs of an entry
// occupy.
type AnswerMemory struct {
	limit int64
	used  atomic.Int64
}

// NewAnswerMemory returns an AnswerMemory with a limit in bytes.
func NewAnswerMemory(limit int64) *AnswerMemory { return &AnswerMemory{limit: limit} }

// Used returns the number of bytes in use.
func (m *AnswerMemory) Used() int64 { return m.used.Load() }

func (m *AnswerMemory) reserve(n int) bool {
	if m.used.Add(int64(n)) <= m.limit {
		return true
	}
	m.used.Add(int64(-n))
	return false
}

func (m *AnswerMemory) release(n int) { m.used.Add(int64(-n)) }

// Job collects the answers of a job's tasks. A job either completes or fails as
// a whole: the first task that does not complete fails the job, stops the other
// tasks and discards the answers collected so far. It is safe for concurrent
// use.
type Job struct {
	memory *AnswerMemory
	stop   func()

	mu        sync.Mutex
	answers   [][]byte
	settled   []bool
	unsettled int
	heldBytes int            // bytes of answers reserved in memory
	ran       bool           // some task completed, failed or may have run
	err       *verdict.Error // first error, replaced by the first MayHaveRun
}

// NewJob returns a job of n tasks. stop is called once, at the first task that
// does not complete. It must cancel the other tasks and must not block.
func NewJob(n int, memory *AnswerMemory, stop func()) *Job {
	return &Job{
		memory:    memory,
		stop:      stop,
		answers:   make([][]byte, n),
		settled:   make([]bool, n),
		unsettled: n,
	}
}

// Settle records the end of one task and reports whether it was the last. A
// second end of the same task is ignored.
func (j *Job) Settle(task int, answer []byte, err error) (last bool) {
	j.mu.Lock()
	if j.settled[task] {
		j.mu.Unlock()
		return false
	}
	j.settled[task] = true
	j.unsettled--
	failed := j.err != nil
	j.record(task, answer, verdict.FromError(err))
	stopNow := !failed && j.err != nil
	last = j.unsettled == 0
	j.mu.Unlock()
	if stopNow {
		j.stop()
	}
	return last
}

// record stores the answer of a task, or fails the job with its error.
func (j *Job) record(task int, answer []byte, err *verdict.Error) {
	if err == nil {
		j.ran = true
		if j.err != nil {
			return
		}
		if !j.memory.reserve(len(answer)) {
			j.fail(verdict.New(verdict.Failed, verdict.MemoryFull, "the job's answers exceed the entry's memory limit for answers"))
			return
		}
		j.heldBytes += len(answer)
		j.answers[task] = answer
		return
	}
	j.ran = j.ran || err.Verdict != verdict.NotRun
	j.fail(err)
}

// fail records an error and discards the answers. The error that failed the job is
// kept. A later MayHaveRun describes the whole job better: the first one replaces
// the error or, if the job itself stopped the task, only its verdict.
func (j *Job) fail(err *verdict.Error) {
	switch {
	case j.err == nil:
		j.err = err
	case j.err.Verdict == verdict.MayHaveRun || err.Verdict != verdict.MayHaveRun:
	case err.Reason == verdict.Cancelled:
		first := *j.err
		first.Verdict = verdict.MayHaveRun
		j.err = &first
	default:
		j.err = err
	}
	j.dropAnswers()
}

func (j *Job) dropAnswers() {
	j.memory.release(j.heldBytes)
	j.heldBytes = 0
	clear(j.answers)
}

// Outcome returns the outcome of the job. It must be called only after Settle
// has reported the last task. A job with some tasks that ran is Failed even if
// the task that failed the job did not run.
func (j *Job) Outcome() structs.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err == nil {
		return structs.Outcome{Verdict: verdict.Completed, Answers: slices.Clone(j.answers)}
	}
	o := structs.OutcomeFromError(j.err)
	if j.ran && o.Verdict == verdict.NotRun {
		o.Verdict = verdict.Failed
	}
	return o
}

// Free releases the memory of the answers once they are no longer needed.
func (j *Job) Free() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dropAnswers()
}
