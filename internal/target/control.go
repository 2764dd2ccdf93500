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

// LookupMode says what a look-up does besides asking.
type LookupMode uint8

// The look-ups.
const (
	// LookupState only asks.
	LookupState LookupMode = iota + 1
	// LookupFence also bars a start that arrives later.
	LookupFence
	// LookupStop also bars a later start and stops a running task.
	LookupStop
)

// Status is the answer to a look-up.
type Status struct {
	State TaskState
	// Incarnation is the run of the target that answered. A fence by another
	// run than the one that a start was meant for proves nothing.
	Incarnation string
	// Answer and Err are the task's end, with TaskDone: exactly what Run
	// would have returned.
	Answer Answer
	Err    error
}

// Lookup asks a target what it knows of a task. It waits up to wait for a
// running task to end. An error means that the target could not be asked.
func (p *Pool) Lookup(ctx context.Context, addr string, k key.Key, task int, mode LookupMode, wait time.Duration) (Status, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return Status{}, err
	}
	return e.lookup(ctx, k, task, mode, wait)
}

// Instance returns the run of the target that leased starts are meant for from
// now on. It asks the target at the first contact; the error is NotRun.
func (p *Pool) Instance(ctx context.Context, addr string) (string, error) {
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
			return Status{}, verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "look-up is of another task")
		}
		drain(resp)
		return st, nil
	}
	_ = resp.Body.Close()
	return Status{}, verdict.New(verdict.MayHaveRun, verdict.TargetError, "look-up answered %s", resp.Status)
}

// Usage asks a target what it runs.
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
		return Usage{}, fmt.Errorf("usage of %s: %w", e.addr, err)
	}
	return u, nil
}

// fetchClock reads the target's clock. The error is NotRun, as it is from before
// the start.
func (e *endpoint) fetchClock(ctx context.Context) error {
	done, err := e.control.acquireRequest(ctx)
	if err != nil {
		return err
	}
	defer done()
	resp, err := e.doControl(ctx, http.MethodGet, PathClock)
	if err != nil {
		r := verdict.FromError(err).Reason
		return verdict.New(verdict.NotRun, r, "ask for the clock before the start: %w", err)
	}
	drain(resp)
	return nil
}

// doControl makes a control request over a fresh connection: an open one may have
// gone silent.
func (e *endpoint) doControl(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.addr+path, nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "build request: %w", err)
	}
	req.Close = true
	return e.roundTrip(e.control, req)
}
