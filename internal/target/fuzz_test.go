package target_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// FuzzAnswer has a target respond to a start with arbitrary bytes. A response that
// is accepted as an answer must be complete and belong to the task.
func FuzzAnswer(f *testing.F) {
	k, err := key.New("vannes")
	if err != nil {
		f.Fatal(err)
	}
	matching := "HTTP/1.1 200 OK\r\n" + target.HeaderKey + ": " + k.String() + "\r\n" + target.HeaderTask + ": 0\r\n" +
		target.HeaderChecksum + ": " + target.Checksum([]byte("{}")) + "\r\nContent-Length: 2\r\n\r\n{}"
	f.Add([]byte(matching))
	f.Add([]byte(matching[:len(matching)-1]))
	f.Add([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("nothing of the sort"))
	var reply atomic.Pointer[[]byte]
	addr := answerWith(f, &reply)
	pool := target.NewPool(target.PoolConfig{})
	f.Cleanup(pool.Close)
	f.Fuzz(func(t *testing.T, raw []byte) {
		reply.Store(&raw)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		a, err := pool.Run(ctx, addr, target.Start{Key: k, Kind: "unlock", Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second)})
		if err == nil && (!bytes.Contains(raw, []byte(k.String())) || !bytes.Contains(raw, []byte(target.Checksum(a.Body)))) {
			t.Fatalf("%q was accepted as an answer", raw)
		}
		if err != nil && verdict.FromError(err).Verdict == 0 {
			t.Fatalf("error without a verdict: %v", err)
		}
	})
}

// answerWith starts a listener that reads one request of each connection and
// responds with the bytes in reply.
func answerWith(f *testing.F, reply *atomic.Pointer[[]byte]) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(*reply.Load())
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}
