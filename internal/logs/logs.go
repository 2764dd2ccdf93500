// Package logs writes log lines without ever blocking the writer: lines wait in
// a bounded buffer, and those that find it full are dropped and counted.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds what waits to be written.
	bufferBytes = 512 << 10
	// maxWriteBytes is the size of one write, which a pipe of 4 KiB takes whole.
	maxWriteBytes = 4 << 10
	// flushInterval is the pause between two writes.
	flushInterval = 50 * time.Millisecond
)

// Writer passes lines on to another writer. Use NewWriter.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int
	limit   int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewWriter returns a Writer to out. Close it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, limit: bufferBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > w.limit || w.closed {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	first := len(w.buf) == 0
	w.buf = append(w.buf, line...)
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		if w.flush() {
			return
		}
		time.Sleep(flushInterval)
	}
}

// chunk returns the length of the whole lines that go into one write.
func chunk(b []byte) int {
	if len(b) <= maxWriteBytes {
		return len(b)
	}
	if end := bytes.LastIndexByte(b[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return end + 1
	}
	return len(b)
}

// flush writes what waits, with a line on what was dropped, and reports whether
// the writer is closed.
func (w *Writer) flush() bool {
	w.mu.Lock()
	batch, dropped, closed := w.buf, w.dropped, w.closed
	w.buf, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	for rest := batch; len(rest) > 0; {
		n := chunk(rest)
		_, _ = w.out.Write(rest[:n]) // there is nowhere to report a failure to log
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
	return closed
}
