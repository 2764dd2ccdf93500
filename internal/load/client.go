package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const (
	// answerGrace is how long after its deadline a call still waits for the
	// answer.
	answerGrace         = 2 * time.Second
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 4096
	idleConnTimeout     = 30 * time.Second
)

// taskBody is the part of a task's body that the stand-ins for targets read.
type taskBody struct {
	ServiceMS float64 `json:"service_ms"`
}

// requestBody is the body of POST /v1/requests.
type requestBody struct {
	Key        string   `json:"key,omitempty"`
	Kind       string   `json:"kind"`
	Team       string   `json:"team"`
	Body       taskBody `json:"body"`
	DeadlineMS int64    `json:"deadline_ms"`
}

// submissionBody is the body of POST /v1/submissions.
type submissionBody struct {
	Key        string             `json:"key,omitempty"`
	Kind       string             `json:"kind"`
	Team       string             `json:"team"`
	Tasks      []taskBody         `json:"tasks"`
	Needs      *structs.Resources `json:"needs,omitempty"`
	DeadlineMS int64              `json:"deadline_ms"`
}

// answerBody is the part of an answer or refusal that the report counts.
type answerBody struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Answers []struct{}      `json:"answers"`
}

// call is one request or job of a stream.
type call struct {
	stream       *Stream
	intended     time.Time // send time
	serviceTimes []time.Duration
	addr         string
}

// longestTask returns the run time of the longest task.
func (c *call) longestTask() time.Duration { return slices.Max(c.serviceTimes) }

// totalServiceTime returns the run time of all tasks together.
func (c *call) totalServiceTime() time.Duration {
	sum := time.Duration(0)
	for _, t := range c.serviceTimes {
		sum += t
	}
	return sum
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// encode returns the path and the body of a call that is sent now.
func (c *call) encode(now time.Time) (path string, body []byte, err error) {
	remaining := c.stream.Deadline - now.Sub(c.intended)
	ms := max(1, remaining.Milliseconds())
	tasks := make([]taskBody, len(c.serviceTimes))
	for i, t := range c.serviceTimes {
		tasks[i].ServiceMS = float64(t) / float64(time.Millisecond)
	}
	k, err := c.mintKey()
	if err != nil {
		return "", nil, err
	}
	if c.stream.Class == structs.Request {
		body, err = json.Marshal(requestBody{k, c.stream.Kind, c.stream.Team, tasks[0], ms})
		return "/v1/requests", body, err
	}
	body, err = json.Marshal(submissionBody{k, c.stream.Kind, c.stream.Team, tasks, c.stream.Needs, ms})
	return "/v1/submissions", body, err
}

// mintKey returns a new key, or "" if the entry is to mint one.
func (c *call) mintKey() (string, error) {
	if c.stream.KeyDC == "" {
		return "", nil
	}
	k, err := key.New(c.stream.KeyDC)
	if err != nil {
		return "", err
	}
	return k.String(), nil
}

// send sends a call and returns the answer. After an error the outcome of the
// call is unknown.
func (c *call) send(ctx context.Context, client *http.Client) (answerBody, error) {
	ctx, cancel := context.WithDeadline(ctx, c.intended.Add(c.stream.Deadline+answerGrace))
	defer cancel()
	path, body, err := c.encode(time.Now())
	if err != nil {
		return answerBody{}, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return answerBody{}, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return answerBody{}, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answerBody{}, fmt.Errorf("read answer: %w", err)
	}
	var a answerBody
	if err := json.Unmarshal(raw, &a); err != nil {
		return answerBody{}, fmt.Errorf("decode answer with status %d: %w", resp.StatusCode, err)
	}
	return a, c.checkComplete(&a)
}

// checkComplete checks that a completed job has an answer for each task.
func (c *call) checkComplete(a *answerBody) error {
	if a.Verdict == verdict.Completed && c.stream.Class == structs.Job && len(a.Answers) != len(c.serviceTimes) {
		return fmt.Errorf("answer has %d of %d tasks", len(a.Answers), len(c.serviceTimes))
	}
	return nil
}
