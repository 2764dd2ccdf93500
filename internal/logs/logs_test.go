package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer that blocks until it is opened.
type blockingWriter struct {
	mu           sync.Mutex
	buf          bytes.Buffer
	largestWrite int
	open         chan struct{}
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	g.largestWrite = max(g.largestWrite, len(b))
	return g.buf.Write(b)
}

func TestLinesAreWrittenWholeAndInOrder(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	close(g.open)
	w := NewWriter(g)
	for i := range 1000 {
		_, err := fmt.Fprintf(w, "line %d of a log\n", i)
		assert.NilError(t, err)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(g.buf.String()), "\n")
	assert.Equal(t, len(lines), 1000)
	for i, l := range lines {
		assert.Equal(t, l, fmt.Sprintf("line %d of a log", i))
	}
	assert.Assert(t, g.largestWrite <= maxWriteBytes, "%d bytes at once", g.largestWrite)
}

func TestBlockedOutputDropsLinesAndReportsCount(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	w := NewWriter(g)
	line := strings.Repeat("x", 1023) + "\n"
	for range 3 * bufferBytes / 1024 {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	close(g.open)
	w.Close()
	assert.Assert(t, strings.Contains(g.buf.String(), "log lines dropped"))
	assert.Assert(t, g.buf.Len() < 3*bufferBytes)
}
