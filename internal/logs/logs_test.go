package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer whose writes block until open is closed.
type blockingWriter struct {
	mu           sync.Mutex
	buf          bytes.Buffer
	largestWrite int
	open         chan struct{}
}

func (bw *blockingWriter) Write(b []byte) (int, error) {
	<-bw.open
	bw.mu.Lock()
	defer bw.mu.Unlock()
	bw.largestWrite = max(bw.largestWrite, len(b))
	return bw.buf.Write(b)
}

func TestLinesAreWrittenWholeAndInOrder(t *testing.T) {
	bw := &blockingWriter{open: make(chan struct{})}
	close(bw.open)
	w := NewWriter(bw)
	for i := range 1000 {
		_, err := fmt.Fprintf(w, "line %d of a log\n", i)
		assert.NilError(t, err)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(bw.buf.String()), "\n")
	assert.Equal(t, len(lines), 1000)
	for i, l := range lines {
		assert.Equal(t, l, fmt.Sprintf("line %d of a log", i))
	}
	assert.Assert(t, bw.largestWrite <= maxWriteBytes, "a write of %d bytes", bw.largestWrite)
}

func TestBlockedOutputDropsLinesAndReportsCount(t *testing.T) {
	bw := &blockingWriter{open: make(chan struct{})}
	w := NewWriter(bw)
	line := strings.Repeat("x", 1023) + "\n"
	for range 3 * bufferBytes / 1024 {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	close(bw.open)
	w.Close()
	assert.Assert(t, strings.Contains(bw.buf.String(), "log lines dropped"))
	assert.Assert(t, bw.buf.Len() < 3*bufferBytes)
}
