package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is what clients, runners or the platform have seen.
type event struct {
	at     time.Duration // since the begin of the record
	kind   string
	runner string
	task   string
	run    int
	how    string
	n      int64
	label  string // the kind of the runner
	text   string
}

// String returns the line of the record.
func (e event) String() string {
	s := fmt.Sprintf("%9.3f %-8s", e.at.Seconds(), e.kind)
	if e.runner != "" {
		s += " runner=" + e.runner
	}
	if e.task != "" {
		s += fmt.Sprintf(" task=%s run=%d", e.task, e.run)
	}
	if e.how != "" {
		s += " how=" + e.how
	}
	if e.n > 0 {
		s += fmt.Sprintf(" n=%d", e.n)
	}
	if e.label != "" {
		s += " kind=" + e.label
	}
	if e.text != "" {
		s += " " + e.text
	}
	return s
}

// record keeps the events in the order in which they happened.
type record struct {
	began  time.Time
	mu     sync.Mutex
	events []event
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Since(r.began)
	r.events = append(r.events, e)
}

// note adds a line of a client, the platform or the test itself.
func (r *record) note(kind, format string, args ...any) {
	r.add(event{kind: kind, text: fmt.Sprintf(format, args...)})
}

// all returns the events so far.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes the record and the findings to a file.
func (r *record) write(path string, findings []string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, e := range r.all() {
		fmt.Fprintln(w, e)
	}
	for _, s := range findings {
		fmt.Fprintln(w, "finding:", s)
	}
	fmt.Fprintf(w, "findings: %d\n", len(findings))
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
