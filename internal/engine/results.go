package engine

import (
	"sync"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// maxResultDelay is the longest time for which the result of a task waits for
// those of the other tasks of its job that run here.
const maxResultDelay = 100 * time.Millisecond

// peerJobID identifies a job of a peer that offloaded tasks to this entry.
type peerJobID struct {
	from string
	id   uint64
}

// heldResults holds the unsent results of the tasks of one job of a peer.
type heldResults struct {
	pending  int // tasks that have no result yet
	results  []runResult
	oldestAt time.Time // time of the oldest unsent result
}

// resultBatcher collects the results of tasks that peers offloaded to this
// entry and sends them in batches. The answer of a job needs all its tasks, so
// a result can wait until the last task here ends or one fails. This saves most
// of the messages and delays no answer. Results of requests are sent at once.
type resultBatcher struct {
	send func(to string, rs []runResult)

	mu   sync.Mutex
	jobs map[peerJobID]*heldResults
}

func newResultBatcher(send func(to string, rs []runResult)) *resultBatcher {
	return &resultBatcher{send: send, jobs: make(map[peerJobID]*heldResults)}
}

// expect counts a task of a job that this entry accepted from a peer.
func (r *resultBatcher) expect(id peerJobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.jobs[id]
	if h == nil {
		h = &heldResults{}
		r.jobs[id] = h
	}
	h.pending++
}

// add adds the result of a task that expect counted, and sends the batch if it
// is complete or the task did not complete.
func (r *resultBatcher) add(id peerJobID, res runResult, now time.Time) {
	r.mu.Lock()
	h := r.jobs[id]
	if h == nil {
		r.mu.Unlock()
		r.send(id.from, []runResult{res})
		return
	}
	h.pending--
	if len(h.results) == 0 {
		h.oldestAt = now
	}
	h.results = append(h.results, res)
	var ready []runResult
	if h.pending == 0 || res.Outcome.Verdict != verdict.Completed {
		ready = h.take()
	}
	if h.pending == 0 {
		delete(r.jobs, id)
	}
	r.mu.Unlock()
	if len(ready) > 0 {
		r.send(id.from, ready)
	}
}

// take removes and returns the unsent results. The caller holds the lock.
func (h *heldResults) take() []runResult {
	ready := h.results
	h.results = nil
	return ready
}

// flush sends the batches whose oldest result has waited for maxResultDelay.
func (r *resultBatcher) flush(now time.Time) {
	ready := make(map[string][]runResult)
	r.mu.Lock()
	for id, h := range r.jobs {
		if len(h.results) > 0 && now.Sub(h.oldestAt) >= maxResultDelay {
			ready[id.from] = append(ready[id.from], h.take()...)
		}
	}
	r.mu.Unlock()
	for to, rs := range ready {
		r.send(to, rs)
	}
}

// sendResults sends results to the peer that offloaded the tasks.
func (e *Engine) sendResults(to string, rs []runResult) {
	e.respond(to, wire.RunDone, runDone{Results: rs})
}

// reply sends the result of an offloaded task to its peer, for a job in a
// batch.
func (e *Engine) reply(to string, spec *taskSpec, r result) {
	o := structs.Outcome{Verdict: verdict.Completed, Answers: [][]byte{r.answer}}
	if r.err != nil {
		o = structs.OutcomeFromError(r.err)
	}
	res := runResult{ID: spec.ID, Outcome: o}
	if spec.Class == structs.Request {
		e.sendResults(to, []runResult{res})
		return
	}
	e.resultBatcher.add(peerJobID{to, spec.WorkID}, res, time.Now())
}
