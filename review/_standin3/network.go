package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to a target. Those that are open can go silent for good, as if a box on the way had
// forgotten them, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is a connection that passes the proxy.
type proxied struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	c := &proxied{}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(to, from) })
	wg.Go(func() { c.copy(from, to) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes bytes on. Of a silent connection it drops them, and its end does not show at the other side.
func (c *proxied) copy(to, from net.Conn) {
	b := make([]byte, 1<<15)
	for {
		n, err := from.Read(b)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

func (p *proxy) close() { _ = p.listener.Close() }
