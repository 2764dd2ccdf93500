package target

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestASealedConnectionSendsNothingMore(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	released := 0
	c := &sealConn{Conn: near, release: func() { released++ }}

	assert.Equal(t, c.seal(), uint64(0))
	_, err := c.Write([]byte("x"))

	assert.ErrorIs(t, err, errSealed)
	assert.Equal(t, c.noted(), uint64(0))
	assert.NilError(t, c.Close())
	_ = c.Close()
	assert.Equal(t, released, 1)
}
