package node

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetProxy forwards connections to an address and can reset them all.
type resetProxy struct {
	l     net.Listener
	to    string
	mu    sync.Mutex
	conns []net.Conn
}

func newResetProxy(tb testing.TB) *resetProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	p := &resetProxy{l: l}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", p.to)
			if err != nil {
				_ = c.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, c, d)
			p.mu.Unlock()
			for _, x := range [][2]net.Conn{{c, d}, {d, c}} {
				go func() { _, _ = io.Copy(x[0], x[1]) }() // one end may outlive the other
			}
		}
	}()
	return p
}

// reset closes one side of all connections, and the other side later.
func (p *resetProxy) reset(side int, later time.Duration) {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for i, c := range conns {
		if i%2 == side {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		} else {
			time.AfterFunc(later, func() { _ = c.Close() })
		}
	}
}

// resetRounds is the number of rounds of resets.
const resetRounds = 12

// Links are reset again and again, at one end first, while the loops are late at times. Each
// reset may cost each end a few losses of the link, and no more.
func TestResetsWhileLoopsAreLateEnd(t *testing.T) {
	var log lockedBuffer
	var proxies []*resetProxy
	nodes := startPair(t, &log, func(addr string) string {
		p := newResetProxy(t)
		p.to = addr
		proxies = append(proxies, p)
		return p.l.Addr().String()
	})
	time.Sleep(500 * time.Millisecond)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range resetRounds {
		before := log.count("lost by the peer")
		for range 1 + r.IntN(3) {
			if r.IntN(2) == 0 {
				late := time.Duration(r.IntN(150)) * time.Millisecond
				nodes[r.IntN(2)].post(func(time.Duration) { time.Sleep(late) })
			}
			for _, p := range proxies {
				p.reset(r.IntN(2), time.Duration(r.IntN(60))*time.Millisecond)
			}
			time.Sleep(time.Duration(r.IntN(80)) * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		lost := log.count("lost by the peer") - before
		if lost > 0 {
			t.Logf("round %d: %d", i, lost)
		}
		assert.Assert(t, lost <= 20, "round %d: the link was taken for lost %d times", i, lost)
	}
}
