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

// Run starts one task at the target at addr and returns its whole answer. It
// sends the task at most once. See Runner for the errors.
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

// countFailure counts a failed attempt, and a dropped answer if there was one.
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
	resp, err := e.roundTrip(e.tasks, req)
	if err != nil {
		return Answer{}, err
	}
	return e.readAnswer(ctx, resp, s.Key, s.Task)
}

// startRequest builds the request of a start. It has no GetBody and no
// idempotency header, so net/http can't send it twice.
func (e *endpoint) startRequest(ctx context.Context, s Start) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.addr+PathTasks, bytes.NewReader(s.Body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "build start: %w", err)
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

// notAfter tells the end of a lease in the target's clock. The error is NotRun.
func (e *endpoint) notAfter(ctx context.Context, t time.Time) (Clock, error) {
	if !time.Now().Before(t) {
		return Clock{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "the lease ended before the start")
	}
	return e.clockAt(ctx, t)
}

// clockAt tells a time in the target's clock, which it asks for if it is not
// known yet; one asks for all. The error is NotRun.
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
		return Clock{}, verdict.New(verdict.NotRun, verdict.TargetRefused, "the target does not tell its clock")
	}
	return c, nil
}

// readAnswer reads the answer to a start or a look-up of a done task.
func (e *endpoint) readAnswer(ctx context.Context, resp *http.Response, k key.Key, task int) (Answer, error) {
	h := resp.Header
	v, err := verdict.Parse(h.Get(HeaderVerdict))
	if err != nil {
		_ = resp.Body.Close()
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "target answered %s without a verdict", resp.Status)
	}
	if h.Get(HeaderKey) != k.String() || h.Get(HeaderTask) != strconv.Itoa(task) {
		_ = resp.Body.Close()
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "answer is for another task")
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
	return Answer{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "target answered %s", v)
}

// refusalError maps a target's refusal to its error.
func refusalError(r Refusal) *verdict.Error {
	switch r {
	case RefusedLeaving:
		return verdict.New(verdict.NotRun, verdict.TargetLeaving, "the target is leaving")
	case RefusedLeaseExpired:
		return verdict.New(verdict.NotRun, verdict.LeaseLapsed, "the start reached the target after the lease")
	}
	return verdict.New(verdict.NotRun, verdict.TargetRefused, "the target refused: %.80s", string(r))
}

// drain reads the rest of a short answer, so that its connection can be used
// again.
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

// headerInt returns a header's value, 0 if it is missing or malformed.
func headerInt(h http.Header, name string) int64 {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
