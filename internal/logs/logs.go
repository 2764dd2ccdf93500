// Package logs writes log lines without ever blocking the caller: lines wait in a
// bounded buffer, and lines that do not fit are dropped and counted.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes limits the lines that wait to be written.
	bufferBytes = 512 << 10
	// maxWriteBytes limits the size of one write of several lines, so that a pipe
	// with a buffer of 4 KiB takes it whole.
	maxWriteBytes = 4 << 10
	// flushInterval is the pause between two writes.
	flushInterval = 50 * time.Millisecond
)

// Writer buffers lines and writes them to another writer in the background. It is
// created by NewWriter and safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte // the buffer that was written last, for reuse
	dropped int    // lines since the last flush
	limit   int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewWriter returns a Writer to out. The caller must close it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, limit: bufferBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line. It never fails and never blocks; a line that does not fit
// is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buf)+len(line) > w.limit || w.closed {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	wasEmpty := len(w.buf) == 0
	w.buf = append(w.buf, line...)
	w.mu.Unlock()
	if wasEmpty {
		w.signal()
	}
	return len(line), nil
}

// signal wakes run.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and ends the Writer. Lines that are written
// later are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

// run writes the buffered lines whenever there are some, until Close.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		if w.flush() {
			return
		}
		time.Sleep(flushInterval)
	}
}

// chunk returns the length of the next write: as many whole lines as fit into
// maxWriteBytes, or a single longer one.
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

// flush writes the buffered lines, followed by a line with the number of dropped
// ones if there are any, and reports whether the Writer is closed.
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
