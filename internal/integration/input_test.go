package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// expiredKey returns a key that was minted longer ago than the longest lifetime
// of a key.
func expiredKey(dc string) string {
	id := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(-24 * time.Hour).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return dc + "/" + id.String()
}

// badInput is an invalid request with the expected refusal.
type badInput struct {
	name, path, body string
	status           int
	reason           verdict.Reason
	verdict          verdict.Verdict
}

func badInputs() []badInput {
	const requests, submissions = "/v1/requests", "/v1/submissions"
	unlock := func(fields string) string {
		return `{"kind":"unlock","team":"households","body":{}` + fields + `}`
	}
	keyed := func(k string) string { return unlock(fmt.Sprintf(`,"key":%q`, k)) }
	job := func(tasks int, fields string) string {
		all := strings.TrimSuffix(strings.Repeat("{},", tasks), ",")
		return `{"kind":"dusk-unlocks","team":"households","tasks":[` + all + `]` + fields + `}`
	}
	large := `"` + strings.Repeat("x", 70_000) + `"`
	return []badInput{
		{"no JSON", requests, `unlock`, 400, verdict.BadRequest, verdict.MayHaveRun},
		{"empty body", requests, ``, 400, verdict.BadRequest, verdict.MayHaveRun},
		{"wrong type", requests, `{"kind":7,"team":"households","body":{}}`, 400, verdict.BadRequest, verdict.NotRun},
		{"wrong type with a key", requests, `{"kind":7,"key":"` + mintKey("coast") + `"}`, 400, verdict.BadRequest, verdict.NotRun},
		{"unknown field", requests, unlock(`,"colour":"red"`), 400, verdict.BadRequest, verdict.NotRun},
		{"two values", requests, unlock("") + unlock(""), 400, verdict.BadRequest, verdict.MayHaveRun},
		{"truncated JSON", requests, `{"kind":"unlock","team":"house`, 400, verdict.BadRequest, verdict.MayHaveRun},
		{"no body", requests, `{"kind":"unlock","team":"households"}`, 400, verdict.BadRequest, verdict.NotRun},
		{"unknown kind", requests, `{"kind":"unlokc","team":"households","body":{}}`, 400, verdict.UnknownKind, verdict.NotRun},
		{"kind of jobs", requests, `{"kind":"dusk-unlocks","team":"households","body":{}}`, 400, verdict.UnknownKind, verdict.NotRun},
		{"unknown team", requests, `{"kind":"unlock","team":"strangers","body":{}}`, 400, verdict.UnknownTeam, verdict.NotRun},
		{"over-large body", requests, `{"kind":"unlock","team":"households","body":` + large + `}`, 413, verdict.TooLarge, verdict.MayHaveRun},
		{"over-large task", submissions, `{"kind":"dusk-unlocks","team":"households","tasks":[` + large + `]}`, 413, verdict.TooLarge, verdict.NotRun},
		{"key is a number", requests, unlock(`,"key":7`), 400, verdict.BadRequest, verdict.NotRun},
		{"bad key", requests, keyed("coast/7"), 400, verdict.BadKey, verdict.NotRun},
		{"key of version 4", requests, keyed("coast/" + uuid.NewString()), 400, verdict.BadKey, verdict.NotRun},
		{"expired key", requests, keyed(expiredKey("coast")), 410, verdict.KeyExpired, verdict.MayHaveRun},
		{"unknown data centre", requests, keyed(mintKey("atlantis")), 400, verdict.UnknownDC, verdict.MayHaveRun},
		{"deadline passed", requests, unlock(`,"deadline_ms":-5`), 400, verdict.DeadlinePassed, verdict.NotRun},
		{"deadline passed, with a key", requests, unlock(`,"deadline_ms":0,"key":"` + mintKey("coast") + `"`), 400, verdict.DeadlinePassed, verdict.NotRun},
		{"no tasks", submissions, job(0, ""), 400, verdict.BadRequest, verdict.NotRun},
		{"671 tasks", submissions, job(structs.MaxTasks+1, ""), 400, verdict.TooManyTasks, verdict.NotRun},
		{"expired key of a job", submissions, job(1, fmt.Sprintf(`,"key":%q`, expiredKey("coast"))), 410, verdict.KeyExpired, verdict.MayHaveRun},
	}
}

// TestBadInput sends invalid requests and checks that each is refused as
// expected and that nothing starts.
func TestBadInput(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	cl.startTargets("coast", 1, 1)
	cl.startEntry("e1", "coast")
	cl.applyManifest(cl.entries["e1"])
	cl.awaitReady("e1")
	cl.awaitTargets(2, "e1")

	for _, in := range badInputs() {
		t.Run(in.name, func(t *testing.T) {
			r, err := cl.call(http.MethodPost, "e1", in.path, []byte(in.body))
			assert.NilError(t, err)
			in.check(t, r)
		})
	}
	t.Run("body that ends early", func(t *testing.T) {
		assert.Equal(t, cl.sendTruncatedBody(t), "HTTP/1.1 400 Bad Request, "+verdict.MayHaveRun.String())
	})
	assert.Equal(t, len(cl.startCounts()), 0)
}

func (in *badInput) check(t *testing.T, r *response) {
	t.Helper()
	assert.Equal(t, r.Reason, in.reason, "%s", r)
	assert.Equal(t, r.Status, in.status, "%s", r)
	assert.Equal(t, r.Verdict, in.verdict, "%s", r)
	assert.Equal(t, r.Header, r.Verdict.String())
	assert.Assert(t, r.Message != "")
}

// sendTruncatedBody sends a part of the announced body and closes its side of
// the connection. It returns the status line and the verdict.
func (cl *cluster) sendTruncatedBody(t *testing.T) string {
	t.Helper()
	conn, err := net.Dial("tcp", cl.entry("e1").addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/requests HTTP/1.1\r\nHost: e1\r\nContent-Length: 100\r\n\r\n{\"kind\":")
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.Proto + " " + resp.Status + ", " + resp.Header.Get(api.VerdictHeader)
}
