package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// AnswerMemory bounds the bytes of answers that all jobs of an entry hold.
type AnswerMemory struct {
	limit int64
	used  atomic.Int64
}

// NewAnswerMemory returns a bound of limit bytes.
func NewAnswerMemory(limit int64) *AnswerMemory { return &AnswerMemory{limit: limit} }

// Used returns the bytes that are held.
func (m *AnswerMemory) Used() int64 { return m.used.Load() }

func (m *AnswerMemory) reserve(n int) bool {
	if m.used.Add(int64(n)) <= m.limit {
		return true
	}
	m.used.Add(int64(-n))
	return false
}

func (m *AnswerMemory) release(n int) { m.used.Add(int64(-n)) }

// Job collects the answers of a job's tasks. Its outcome is complete or it has
// failed: the first task that does not complete fails the job, stops the rest,
// and drops the answers so far. It is safe for concurrent use.
type Job struct {
	memory *AnswerMemory
	stop   func()

	mu        sync.Mutex
	answers   [][]byte
	settled   []bool
	unsettled int
	heldBytes int            // bytes of answers
	ran       bool           // a task completed or failed, or may have run
	err       *verdict.Error // the first error with the least certain verdict
}

// NewJob returns a job of n tasks. Stop is called once, at the first task that
// does not complete; it is to cancel the others and must not block.
func NewJob(n int, memory *AnswerMemory, stop func()) *Job {
	return &Job{
		memory:    memory,
		stop:      stop,
		answers:   make([][]byte, n),
		settled:   make([]bool, n),
		unsettled: n,
	}
}

// Settle takes in the end of one task and reports whether it was the last. The
// second end of a task is ignored.
func (j *Job) Settle(task int, answer []byte, err error) (last bool) {
	j.mu.Lock()
	if j.settled[task] {
		j.mu.Unlock()
		return false
	}
	j.settled[task] = true
	j.unsettled--
	failed := j.err != nil
	j.record(task, answer, verdict.Of(err))
	stopNow := !failed && j.err != nil
	last = j.unsettled == 0
	j.mu.Unlock()
	if stopNow {
		j.stop()
	}
	return last
}

func (j *Job) record(task int, answer []byte, err *verdict.Error) {
	if err == nil {
		j.ran = true
		if j.err != nil {
			return
		}
		if !j.memory.reserve(len(answer)) {
			j.fail(verdict.New(verdict.Failed, verdict.MemoryFull, "the answers exceed the memory for jobs"))
			return
		}
		j.heldBytes += len(answer)
		j.answers[task] = answer
		return
	}
	j.ran = j.ran || err.Verdict != verdict.NotRun
	j.fail(err)
}

// fail notes an error and drops the answers. The first error stands, but for
// one that may have run, which says more about the whole.
func (j *Job) fail(err *verdict.Error) {
	if j.err == nil || (j.err.Verdict != verdict.MayHaveRun && err.Verdict == verdict.MayHaveRun) {
		j.err = err
	}
	j.dropAnswers()
}

func (j *Job) dropAnswers() {
	j.memory.release(j.heldBytes)
	j.heldBytes = 0
	clear(j.answers)
}

// Outcome returns the job's end, once Settle has reported the last task. A job
// of which some tasks ran is Failed even if the task that failed it did not
// run.
func (j *Job) Outcome() structs.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err == nil {
		return structs.Outcome{Verdict: verdict.Completed, Answers: slices.Clone(j.answers)}
	}
	o := structs.OutcomeOf(j.err)
	if j.ran && o.Verdict == verdict.NotRun {
		o.Verdict = verdict.Failed
	}
	return o
}

// Free gives the memory of the answers back, when nobody needs them any more.
func (j *Job) Free() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dropAnswers()
}
