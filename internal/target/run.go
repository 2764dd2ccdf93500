package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Run starts one task on the target at addr and returns its complete answer. It
// sends the task at most once. See TaskRunner for the errors.
func (p *Pool) Run(ctx context.Context, addr string, s Start) (Answer, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return Answer{}, err
	}
	a, err := e.run(ctx, s)
	if err != nil {
		e.countFailure(err)
	}
	return a, err
}

// countFailure counts a failed attempt, and an answer that was dropped as
// truncated or mismatched.
func (e *endpoint) countFailure(err error) {
	r := verdict.FromError(err).Reason
	e.cfg.Metrics.Count(metrics.Failed, r)
	if r == verdict.TruncatedAnswer || r == verdict.MismatchedAnswer {
		e.cfg.Metrics.Count(metrics.Dropped, r)
	}
}

func (e *endpoint) run(ctx context.Context, s Start) (Answer, error) {
	done, err := e.tasks.acquireRequest(ctx)
	if err != nil {
		return Answer{}, err
	}
	defer done()
	req, err := e.startRequest(ctx, s)
	if err != nil {
		return Answer{}, err
	}
	resp, err := e.roundTrip(e.tasks, req, s.OnConnected)
	if err != nil {
		return Answer{}, err
	}
	return e.readAnswer(ctx, resp, s.Key, s.Task)
}

// startRequest builds the HTTP request for a start. It has no GetBody and no
// idempotency header, so net/http can't send it twice.
func (e *endpoint) startRequest(ctx context.Context, s Start) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.addr+PathTasks, bytes.NewReader(s.Body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "build start request to the target: %w", err)
	}
	req.GetBody = nil
	h := req.Header
	h.Set(HeaderKey, s.Key.String())
	h.Set(HeaderTask, strconv.Itoa(s.Task))
	h.Set(HeaderKind, s.Kind)
	h.Set("Content-Type", "application/octet-stream")
	setResources(h, s.Needs)
	if !s.Deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(time.Until(s.Deadline).Milliseconds(), 10))
	}
	if s.NotAfter.IsZero() {
		return req, nil
	}
	notAfter, err := e.notAfter(ctx, s.NotAfter)
	if err != nil {
		return nil, err
	}
	h.Set(HeaderNotAfter, notAfter.String())
	return req, nil
}

// notAfter converts the end of a lease to the target's clock. The error has the
// verdict NotRun.
func (e *endpoint) notAfter(ctx context.Context, t time.Time) (Clock, error) {
	if !time.Now().Before(t) {
		return Clock{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "the lease expired before the start was sent")
	}
	return e.clockAt(ctx, t)
}

// clockAt converts a time to the target's clock. It requests the clock if it is not
// known yet; of several concurrent callers only one sends the request. The error
// has the verdict NotRun.
func (e *endpoint) clockAt(ctx context.Context, t time.Time) (Clock, error) {
	if c, ok := e.clock.at(t); ok {
		return c, nil
	}
	select {
	case e.clockFetch <- struct{}{}:
		defer func() { <-e.clockFetch }()
	case <-ctx.Done():
		return Clock{}, transportError(ctx, ctx.Err(), false)
	}
	if c, ok := e.clock.at(t); ok {
		return c, nil
	}
	if err := e.fetchClock(ctx); err != nil {
		return Clock{}, err
	}
	c, ok := e.clock.at(t)
	if !ok {
		return Clock{}, verdict.New(verdict.NotRun, verdict.TargetRefused, "response of the target has no valid clock header")
	}
	return c, nil
}

// readAnswer reads the answer from the response to a start, or to a lookup of a
// done task.
func (e *endpoint) readAnswer(ctx context.Context, resp *http.Response, k key.Key, task int) (Answer, error) {
	h := resp.Header
	v, err := verdict.Parse(h.Get(HeaderVerdict))
	if err != nil {
		_ = resp.Body.Close()
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "response %s of the target has no valid verdict header", resp.Status)
	}
	if h.Get(HeaderKey) != k.String() || h.Get(HeaderTask) != strconv.Itoa(task) {
		_ = resp.Body.Close()
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "answer of the target is for another task")
	}
	if v == verdict.NotRun {
		drain(resp)
		return Answer{}, refusalError(Refusal(h.Get(HeaderReason)))
	}
	body, err := readBody(ctx, resp, e.cfg.MaxAnswer)
	if err != nil {
		return Answer{}, err
	}
	switch v {
	case verdict.Completed:
		return Answer{Body: body, RunTime: parseRunTime(h), Used: parseResources(h)}, nil
	case verdict.Failed:
		return Answer{}, verdict.New(verdict.Failed, verdict.TaskFailed, "the task failed: %.200s", body)
	}
	return Answer{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "answer of the target has the unexpected verdict %s", v)
}

// refusalError maps a target's refusal to an error with the verdict NotRun.
func refusalError(r Refusal) *verdict.Error {
	switch r {
	case RefusedLeaving:
		return verdict.New(verdict.NotRun, verdict.TargetLeaving, "the target is leaving")
	case RefusedLeaseExpired:
		return verdict.New(verdict.NotRun, verdict.LeaseLapsed, "the start reached the target after the lease expired")
	}
	return verdict.New(verdict.NotRun, verdict.TargetRefused, "the target refused the start: %.80s", string(r))
}

// drain reads the rest of a short response, so that its connection can be reused.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
	_ = resp.Body.Close()
}

func setResources(h http.Header, r structs.Resources) {
	if r == (structs.Resources{}) {
		return
	}
	h.Set(HeaderMilliCPU, strconv.FormatInt(r.MilliCPU, 10))
	h.Set(HeaderMemory, strconv.FormatInt(r.MemoryMB, 10))
	h.Set(HeaderAccelerators, strconv.FormatInt(r.Accelerators, 10))
}

func parseResources(h http.Header) structs.Resources {
	return structs.Resources{
		MilliCPU:     headerInt(h, HeaderMilliCPU),
		MemoryMB:     headerInt(h, HeaderMemory),
		Accelerators: headerInt(h, HeaderAccelerators),
	}
}

func parseRunTime(h http.Header) time.Duration {
	return time.Duration(headerInt(h, HeaderRunTime)) * time.Microsecond
}

// headerInt returns the integer value of a header, 0 if it is missing or
// malformed.
func headerInt(h http.Header, name string) int64 {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
