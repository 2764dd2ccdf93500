package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/key"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/verdict"
)

const callTimeout = 40 * time.Second // above the longest deadline of the tests

// callers is shared by all tests, so that connections are kept alive.
var callers = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 512},
}

// reply is the answer to one call; its fields are those of all bodies.
type reply struct {
	Status int    `json:"-"`
	Header string `json:"-"` // api.VerdictHeader

	Key          string            `json:"key"`
	State        string            `json:"state"`
	Verdict      verdict.Verdict   `json:"verdict"`
	Reason       verdict.Reason    `json:"reason"`
	Message      string            `json:"message"`
	RetryAfterMS int64             `json:"retry_after_ms"`
	Answer       json.RawMessage   `json:"answer"`
	Answers      []json.RawMessage `json:"answers"`
}

func (r *reply) String() string {
	return fmt.Sprintf("%d %s (%s) %s", r.Status, r.Verdict, r.Reason, r.Message)
}

// call makes one HTTP call at an entry.
func (f *fleet) call(method, entry, path string, body []byte) (*reply, error) {
	req, err := http.NewRequest(method, f.entry(entry).url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := callers.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	r := &reply{Status: resp.StatusCode, Header: resp.Header.Get(api.VerdictHeader)}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("status %d, body %.200q: %w", resp.StatusCode, text, err)
	}
	return r, nil
}

// encode returns a value as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// mint returns a new key.
func mint(dc string) string {
	k, err := key.New(dc)
	if err != nil {
		panic(err)
	}
	return k.String()
}

// service returns a task's body with its run time.
func service(d time.Duration) json.RawMessage {
	return encode(taskserver.Spec{ServiceMS: float64(d.Milliseconds())})
}

// request submits one request.
func (f *fleet) request(entry, k, kind, team string, d time.Duration) (*reply, error) {
	body := api.RequestBody{Key: k, Kind: kind, Team: team, Body: service(d)}
	return f.call(http.MethodPost, entry, "/v1/requests", encode(body))
}

// startsByKey counts the starts of each key, over all its tasks.
func (f *fleet) startsByKey() map[string]int {
	starts := make(map[string]int)
	for id, n := range f.starts() {
		starts[id.Key.String()] += n
	}
	return starts
}

// onceEach demands that no task started twice.
func (f *fleet) onceEach(t *testing.T) {
	t.Helper()
	for id, n := range f.starts() {
		assert.Assert(t, n <= 1, "%s started %d times", id, n)
	}
}

// idle waits until nothing runs at the targets.
func (f *fleet) idle() {
	f.t.Helper()
	f.eventually("targets idle", func() error {
		for _, s := range f.targets {
			if n := s.Running(); n > 0 {
				return fmt.Errorf("%d tasks run at %s", n, s.VM().Name)
			}
		}
		return nil
	})
}

// counters returns the sum over all entries that run.
func (f *fleet) counters(words ...string) float64 {
	f.t.Helper()
	sum := 0.0
	for _, name := range f.order {
		sum += f.counter(name, words...)
	}
	return sum
}

// counter returns the sum of an entry's counters whose name and labels hold
// every one of the words.
func (f *fleet) counter(entry string, words ...string) float64 {
	f.t.Helper()
	resp, err := http.Get(f.entry(entry).url("/metrics"))
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		sum += counterOf(line, words)
	}
	return sum
}

// counterOf returns the value of a line of /metrics, 0 if a word is missing.
func counterOf(line string, words []string) float64 {
	for _, w := range words {
		if strings.HasPrefix(line, "#") || !strings.Contains(line, w) {
			return 0
		}
	}
	fields := strings.Fields(line)
	var v float64
	if _, err := fmt.Sscan(fields[len(fields)-1], &v); err != nil {
		return 0
	}
	return v
}

// ask is one request with the reply to its only submission.
type ask struct {
	kind  string
	reply *reply
	err   error
}

// kindRepeatable is the kind of the tests' manifest that may run twice.
const kindRepeatable = "balance-check"

// ask submits n requests of 30 ms with a pause between two, of the kinds and
// through the entries in turn. at is called with the number sent so far.
func (f *fleet) ask(n int, pause time.Duration, kinds []string, at func(sent int)) []ask {
	asks := make([]ask, n)
	var wg sync.WaitGroup
	for i := range asks {
		at(i)
		a := &asks[i]
		a.kind = kinds[i%len(kinds)]
		entry := f.order[i/len(kinds)%len(f.order)]
		wg.Go(func() { a.reply, a.err = f.request(entry, "", a.kind, "households", 30*time.Millisecond) })
		time.Sleep(pause)
	}
	wg.Wait()
	return asks
}

// checkAsks verifies each reply against the starts at the targets, and counts
// verdicts by kind.
func (f *fleet) checkAsks(t *testing.T, asks []ask) map[string]map[verdict.Verdict]int {
	t.Helper()
	starts := f.startsByKey()
	counts := make(map[string]map[verdict.Verdict]int)
	reasons := make(map[verdict.Reason]int)
	for i := range asks {
		a := &asks[i]
		assert.NilError(t, a.err)
		assert.NilError(t, a.check(starts[a.reply.Key]))
		if counts[a.kind] == nil {
			counts[a.kind] = make(map[verdict.Verdict]int)
		}
		counts[a.kind][a.reply.Verdict]++
		if a.reply.Reason != "" {
			reasons[a.reply.Reason]++
		}
	}
	t.Logf("%d requests: %v %v, %v retried, %v retries withheld", len(asks), counts, reasons, f.counters("retried"), f.counters("withheld"))
	return counts
}

func (a *ask) check(starts int) error {
	r := a.reply
	once := a.kind != kindRepeatable
	switch {
	case r.Header != r.Verdict.String():
		return fmt.Errorf("%s: header %q with %s", r.Key, r.Header, r)
	case once && starts > 1:
		return fmt.Errorf("%s started %d times", r.Key, starts)
	case r.Verdict == verdict.NotRun && starts > 0, r.Verdict == verdict.Failed && starts == 0:
		return fmt.Errorf("%s was told %s after %d starts", r.Key, r, starts)
	case r.Verdict != verdict.Completed:
		return nil
	case starts == 0:
		return fmt.Errorf("%s was answered without a start", r.Key)
	}
	return whole(r.Key, 1, []json.RawMessage{r.Answer})
}
