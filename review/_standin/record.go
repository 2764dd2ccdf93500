package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, in the order of time.
type record struct {
	mu     sync.Mutex
	began  time.Time
	lines  []string
	events []runEvent
}

// runEvent is an event of one run of a task on a runner.
type runEvent struct {
	at     time.Time
	kind   string // "start", "end", "noted" or "lost with its runner"
	task   string
	run    int64
	how    string
	runner *runner
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(what, fields...)
}

func (r *record) addLocked(what string, fields ...any) {
	b := []byte("{\"ms\":")
	b = append(b, mustJSON(time.Since(r.began).Milliseconds())...)
	b = append(b, ",\"what\":"...)
	b = append(b, mustJSON(what)...)
	for i := 0; i+1 < len(fields); i += 2 {
		b = append(b, ',')
		b = append(b, mustJSON(fields[i])...)
		b = append(b, ':')
		b = append(b, mustJSON(fields[i+1])...)
	}
	r.lines = append(r.lines, string(append(b, '}')))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (r *record) addRun(kind string, on *runner, t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, runEvent{time.Now(), kind, t.task, t.number, how, on})
	r.addLocked(kind, "task", t.task, "run", t.number, "runner", on.id, "how", how)
}

// runsOf returns the events of all runs of the tasks of a job, by task.
func (r *record) runsOf(job string) map[string][]runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string][]runEvent{}
	for _, e := range r.events {
		if len(e.task) >= len(job) && e.task[:len(job)] == job {
			m[e.task] = append(m[e.task], e)
		}
	}
	return m
}

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		if _, err := f.WriteString(l + "\n"); err != nil {
			return err
		}
	}
	return f.Close()
}
