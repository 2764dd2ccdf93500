package main

import "time"

// endKey identifies an end by its runner and number.
type endKey struct {
	runner string
	n      int64
}

// doneEnd is a run that has ended done.
type doneEnd struct {
	run    runKey
	at     time.Time
	taken  bool // it was taken note of
	lapsed bool // the runner's lease had lapsed before that
}

func (w *world) noteEnd(runner string, n int64, run runKey, how string) {
	if how != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[endKey{runner, n}] = &doneEnd{run: run, at: time.Now()}
}

func (w *world) noteTaken(runner string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := w.done[endKey{runner, n}]; d != nil {
		d.taken = true
	}
}

func (w *world) noteLapse(runner string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := w.done[endKey{runner, n}]; d != nil && !d.taken {
		d.lapsed = true
	}
}

// mostAgain is the number of starts that are recorded one by one.
const mostAgain = 100

// startedAgain records the first starts of tasks that had ended done before, where that end was taken note of then or
// later and the runner's lease did not lapse between the two, and returns their number.
func (w *world) startedAgain() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := map[string][]endKey{}
	for k, d := range w.done {
		if d.taken && !d.lapsed {
			byTask[d.run.task] = append(byTask[d.run.task], k)
		}
	}
	again := 0
	for _, s := range w.starts {
		for _, k := range byTask[s.task] {
			if d := w.done[k]; s.at.After(d.at) {
				if again++; again > mostAgain {
					continue
				}
				w.rec.add("again: %s run %d has begun at runner %s %.3f s after run %d had ended done at runner %s (end %d)",
					s.task, s.run, s.runner, s.at.Sub(d.at).Seconds(), d.run.run, k.runner, k.n)
			}
		}
	}
	return again
}
