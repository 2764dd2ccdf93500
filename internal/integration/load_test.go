package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

const (
	maxAttempts   = 8               // submissions of one request
	maxUnanswered = 3 * maxAttempts // submissions of one request if the last ones get no response
)

// outcome is the caller's final knowledge about one key.
type outcome struct {
	key      string
	verdict  verdict.Verdict
	reason   verdict.Reason
	message  string
	answer   string
	attempts []attempt // all submissions
}

// attempt is one submission of a request.
type attempt struct {
	sentAt, endedAt time.Time
	entry           string
	verdict         verdict.Verdict // 0 without a response
	result          string
}

func (a attempt) String() string {
	return fmt.Sprintf("%s to %s at %s: %s", a.sentAt.Format("05.000"), a.endedAt.Format("05.000"), a.entry, a.result)
}

// caller submits non-repeatable requests. It resubmits each one under its key
// through another entry until it has a final verdict or maxAttempts is reached.
type caller struct {
	cluster *cluster
	entries []string
	dcs     []string
	client  *http.Client

	mu       sync.Mutex
	outcomes []outcome
}

func newCaller(cl *cluster, dcs []string, entries ...string) *caller {
	return &caller{cluster: cl, dcs: dcs, entries: entries, client: &http.Client{Timeout: 8 * time.Second}}
}

// run sends n requests from concurrent goroutines with a pause after each, and
// waits until all have ended. It calls onSend before each request with the
// number sent so far.
func (c *caller) run(n int, pause time.Duration, onSend func(sent int)) {
	var wg sync.WaitGroup
	for i := range n {
		onSend(i)
		wg.Go(func() { c.submit(i) })
		time.Sleep(pause)
	}
	wg.Wait()
}

// submit submits one request until its outcome is final or maxAttempts is reached.
// After a submission without a response it submits the request once more: such a
// submission may run the request, whatever was said of those before.
func (c *caller) submit(i int) {
	k, err := key.New(c.dcs[i%len(c.dcs)])
	if err != nil {
		panic(err)
	}
	o := outcome{key: k.String()}
	for try := 0; try < maxAttempts || o.unanswered() && try < maxUnanswered; try++ {
		if c.submitOnce(&o, c.entries[(i+try)%len(c.entries)]) {
			break
		}
		time.Sleep(50 * time.Millisecond << min(try, 4))
	}
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
}

// unanswered reports whether the last submission got no response.
func (o *outcome) unanswered() bool {
	n := len(o.attempts)
	return n > 0 && o.attempts[n-1].verdict == 0
}

// submitOnce submits the request once and reports whether the outcome is final.
func (c *caller) submitOnce(o *outcome, entry string) bool {
	a := attempt{sentAt: time.Now(), entry: entry, result: "no response"}
	defer func() {
		a.endedAt = time.Now()
		o.attempts = append(o.attempts, a)
	}()
	body, err := json.Marshal(api.RequestBody{Key: o.key, Kind: "unlock", Team: "households", Body: json.RawMessage(`{"service_ms":30}`)})
	if err != nil {
		panic(err)
	}
	resp, err := c.client.Post(c.cluster.entry(entry).url("/v1/requests"), "application/json", bytes.NewReader(body))
	if err != nil {
		a.result = err.Error()
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		a.result = "an answer"
		return c.recordAnswer(o, &a, resp)
	}
	var e api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return false
	}
	a.verdict = e.Verdict
	o.verdict, o.reason, o.message = e.Verdict, e.Reason, e.Message
	a.result = fmt.Sprintf("%s (%s: %s)", e.Verdict, e.Reason, e.Message)
	return e.Verdict == verdict.Failed
}

func (c *caller) recordAnswer(o *outcome, a *attempt, resp *http.Response) bool {
	var r api.RequestResponse
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return false
	}
	a.verdict = r.Verdict
	o.verdict, o.reason, o.message, o.answer = r.Verdict, "", "", string(r.Answer)
	return true
}

// check checks the guarantees for every request that was sent: no task started
// twice; an answer is complete and belongs to the key of the request; a request
// that was refused with not_run had not started, and did not start later unless
// it was submitted again; every request got a verdict. It returns the number of
// completed requests.
func (c *caller) check(t *testing.T) (completed int) {
	t.Helper()
	starts := c.cluster.startTimes()
	c.cluster.assertStartedOnce(t)
	for i := range c.outcomes {
		o := &c.outcomes[i]
		assert.NilError(t, o.check(starts[o.key]), "%s", o.history(starts[o.key]))
		if o.verdict == verdict.Completed {
			completed++
		}
	}
	t.Logf("%d of %d completed, %v", completed, len(c.outcomes), c.reasons())
	return completed
}

// history returns the submissions and the starts in words.
func (o *outcome) history(starts []time.Time) string {
	var lines []string
	for _, a := range o.attempts {
		lines = append(lines, a.String())
	}
	for _, s := range starts {
		lines = append(lines, "started at "+s.Format("05.000"))
	}
	return strings.Join(lines, "\n")
}

func (o *outcome) check(starts []time.Time) error {
	if err := o.checkRefusals(starts); err != nil {
		return err
	}
	switch o.verdict {
	case verdict.Completed:
		var result struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal([]byte(o.answer), &result); err != nil {
			return fmt.Errorf("%s got an incomplete answer: %w", o.key, err)
		}
		if result.Key != o.key {
			return fmt.Errorf("%s got the answer of %s", o.key, result.Key)
		}
		if len(starts) != 1 {
			return fmt.Errorf("%s completed after %d starts", o.key, len(starts))
		}
	case verdict.NotRun, verdict.MayHaveRun, verdict.Failed:
	default:
		return errors.New(o.key + " got no verdict")
	}
	return nil
}

// checkRefusals checks that each not_run was true: nothing had started by the time of
// the next submission, and nothing started later if there was none.
func (o *outcome) checkRefusals(starts []time.Time) error {
	for i, a := range o.attempts {
		if a.verdict != verdict.NotRun {
			continue
		}
		last := i == len(o.attempts)-1
		for _, s := range starts {
			if last || s.Before(o.attempts[i+1].sentAt) {
				return fmt.Errorf("%s got %s after a start at %s, %d in all", o.key, a.result, s.Format("05.000"), len(starts))
			}
		}
	}
	return nil
}

// reasons counts the reasons of the requests that did not complete.
func (c *caller) reasons() map[verdict.Reason]int {
	counts := make(map[verdict.Reason]int)
	for i := range c.outcomes {
		if o := &c.outcomes[i]; o.verdict != verdict.Completed {
			counts[o.reason]++
		}
	}
	return counts
}
