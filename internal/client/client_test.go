package client

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/verdict"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := New(srv.URL + "/")
	assert.NilError(t, err)
	return c
}

func TestRequestReturnsAnswer(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		assert.Check(t, r.Method == http.MethodPost && r.URL.Path == "/v1/requests", "%s %s", r.Method, r.URL)
		assert.Check(t, string(b) == `{"kind":"unlock","team":"north","body":{"a":1}}`, "%s", b)
		_, _ = w.Write([]byte(`{"key":"k","verdict":"completed","answer":[1]}`))
	})

	a, err := c.Request(t.Context(), api.RequestBody{Kind: "unlock", Team: "north", Body: []byte(`{"a":1}`)})

	assert.NilError(t, err)
	assert.Equal(t, string(a.Answer), "[1]")
	assert.Equal(t, a.Verdict, verdict.Completed)
}

func TestVerdictOfFailedCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed, err := New("http://" + ln.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	respond := func(status int, body string) *Client {
		return newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
	}
	aborted := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for _, tc := range []struct {
		name   string
		c      *Client
		key    string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"failed dial", closed, "", verdict.NotRun, verdict.DialFailed},
		{"failed dial with a key", closed, "k", verdict.MayHaveRun, verdict.DialFailed},
		{"connection aborted", aborted, "", verdict.MayHaveRun, verdict.TargetLost},
		{"refusal", respond(429, `{"verdict":"not_run","reason":"queue_full","message":"m","retry_after_ms":20}`),
			"", verdict.NotRun, verdict.QueueFull},
		{"error page of a load balancer", respond(503, "<html>"), "", verdict.MayHaveRun, verdict.MismatchedAnswer},
		{"truncated answer", respond(200, `{"key":`), "", verdict.MayHaveRun, verdict.MismatchedAnswer},
	} {
		_, err := tc.c.Request(t.Context(), api.RequestBody{Key: tc.key, Body: []byte("1")})
		e := verdict.FromError(err)
		assert.Assert(t, e != nil, tc.name)
		assert.Equal(t, e.Verdict, tc.want, tc.name)
		assert.Equal(t, e.Reason, tc.reason, tc.name)
		if tc.name == "refusal" {
			assert.Equal(t, e.RetryAfter, 20*time.Millisecond)
		}
	}
}
