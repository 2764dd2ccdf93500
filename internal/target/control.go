package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// LookupMode selects the side effect of a status lookup at the target.
type LookupMode uint8

// The lookup modes.
const (
	// LookupState has no side effect.
	LookupState LookupMode = iota + 1
	// LookupFence makes the target refuse a start that arrives later.
	LookupFence
	// LookupStop makes the target refuse a later start and stop a running
	// task.
	LookupStop
)

// Status is the result of a status lookup.
type Status struct {
	State TaskState
	// Incarnation identifies the target process that responded. A fence by
	// another incarnation than the one named in a start proves nothing.
	Incarnation string
	// Answer and Err are the result of the task if State is TaskDone, exactly
	// as Run would have returned it.
	Answer Answer
	Err    error
}

// Lookup requests the status of a task from a target. The target delays its
// response by up to wait until a running task ends. An error means that the
// status is not known.
func (p *Pool) Lookup(ctx context.Context, addr string, k key.Key, task int, mode LookupMode, wait time.Duration) (Status, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return Status{}, err
	}
	return e.lookup(ctx, k, task, mode, wait)
}

// Incarnation returns the incarnation of the target that starts with a lease name
// from now on. It requests the target's clock on first contact. The error has
// the verdict NotRun.
func (p *Pool) Incarnation(ctx context.Context, addr string) (string, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return "", err
	}
	c, err := e.clockAt(ctx, time.Now())
	return c.Incarnation, err
}

func (e *endpoint) lookup(ctx context.Context, k key.Key, task int, mode LookupMode, wait time.Duration) (Status, error) {
	done, err := e.control.acquireRequest(ctx)
	if err != nil {
		return Status{}, err
	}
	defer done()
	method, path := http.MethodGet, TaskPath(k, task)
	switch mode {
	case LookupFence:
		method, path = http.MethodPost, path+PathFence
	case LookupStop:
		method = http.MethodDelete
	}
	if wait > 0 {
		path += "?" + QueryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	resp, err := e.doControl(ctx, method, path)
	if err != nil {
		return Status{}, err
	}
	st := Status{State: TaskState(resp.Header.Get(HeaderState))}
	if c, err := ParseClock(resp.Header.Get(HeaderClock)); err == nil {
		st.Incarnation = c.Incarnation
	}
	switch st.State {
	case TaskDone:
		st.Answer, st.Err = e.readAnswer(ctx, resp, k, task)
		return st, nil
	case TaskUnknown, TaskFenced, TaskRunning:
		if resp.Header.Get(HeaderKey) != k.String() || resp.Header.Get(HeaderTask) != strconv.Itoa(task) {
			_ = resp.Body.Close()
			return Status{}, verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "lookup response of the target is for another task")
		}
		drain(resp)
		return st, nil
	}
	_ = resp.Body.Close()
	return Status{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "lookup response %s of the target has no valid task state", resp.Status)
}

// Usage requests a target's usage report.
func (p *Pool) Usage(ctx context.Context, addr string) (Usage, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return Usage{}, err
	}
	done, err := e.control.acquireRequest(ctx)
	if err != nil {
		return Usage{}, err
	}
	defer done()
	resp, err := e.doControl(ctx, http.MethodGet, PathUsage)
	if err != nil {
		return Usage{}, err
	}
	body, err := readBody(ctx, resp, e.cfg.MaxAnswer)
	if err != nil {
		return Usage{}, err
	}
	var u Usage
	if err := json.Unmarshal(body, &u); err != nil {
		return Usage{}, fmt.Errorf("decode usage report of target %s: %w", e.addr, err)
	}
	return u, nil
}

// fetchClock requests the target's clock; roundTrip updates the estimate from the
// response. The error has the verdict NotRun, since no start was sent yet.
func (e *endpoint) fetchClock(ctx context.Context) error {
	done, err := e.control.acquireRequest(ctx)
	if err != nil {
		return err
	}
	defer done()
	resp, err := e.doControl(ctx, http.MethodGet, PathClock)
	if err != nil {
		r := verdict.FromError(err).Reason
		return verdict.New(verdict.NotRun, r, "read the target's clock before the start: %w", err)
	}
	drain(resp)
	return nil
}

// doControl sends a control request over a new connection, since an open one may
// have gone silent.
func (e *endpoint) doControl(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.addr+path, nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "build control request to the target: %w", err)
	}
	req.Close = true
	return e.roundTrip(e.control, req, nil)
}
