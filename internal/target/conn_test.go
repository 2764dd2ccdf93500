package target

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBlockedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	released := 0
	c := &trackedConn{Conn: near, onClose: func() { released++ }}

	assert.Equal(t, c.blockWrites(), uint64(0))
	_, err := c.Write([]byte("x"))

	assert.ErrorIs(t, err, errWritesBlocked)
	assert.Equal(t, c.writeCount(), uint64(0))
	assert.NilError(t, c.Close())
	_ = c.Close()
	assert.Equal(t, released, 1)
}
