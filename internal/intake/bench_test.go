package intake

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"currantstall/internal/metrics"
)

// BenchmarkOrdinaryRequest is a request of an ordinary caller on a connection that stays
// open, with the limits and with the plain net/http that they replace.
func BenchmarkOrdinaryRequest(b *testing.B) {
	body := `{"spec":"` + strings.Repeat("x", 600) + `","steps":[{"count":1,"cpu":100,"mem_mb":64,"est_ms":50}],"best_effort":true}`
	request := post(body)
	g := NewGate(NewLimits(Machine{Memory: 284 << 20, Descriptors: 4100}, 0), metrics.NewNop())
	read := map[string]func(*http.Request) error{
		"limits": func(r *http.Request) error {
			_, hold, err := g.ReadBody(r, 1<<20)
			if err == nil {
				hold.Release()
			}
			return err
		},
		"plain": func(r *http.Request) error {
			_, err := io.ReadAll(io.LimitReader(r.Body, 1<<20+1))
			return err
		},
	}
	for _, name := range []string{"plain", "limits"} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if err := read[name](r); err != nil {
					w.WriteHeader(http.StatusInternalServerError)
				}
			})}
			if name == "limits" {
				ln = g.Serve(s, ln, true)
			}
			go func() {
				if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
					b.Error(err)
				}
			}()
			defer func() { _ = s.Close() }()
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp, err)
				}
			}
		})
	}
}
