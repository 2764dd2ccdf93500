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

// Ask says what a look-up does besides asking.
type Ask uint8

// The look-ups.
const (
	// AskState only asks.
	AskState Ask = iota + 1
	// AskFence also bars a start that arrives later.
	AskFence
	// AskStop also bars a later start and stops a running task.
	AskStop
)

// Status is the answer to a look-up.
type Status struct {
	State TaskState
	// Instance is the run of the target that answered. A fence by another
	// run than the one that a start was meant for proves nothing.
	Instance string
	// Answer and Err are the task's end, with TaskDone: exactly what Run
	// would have returned.
	Answer Answer
	Err    error
}

// Lookup asks a target what it knows of a task. It waits up to wait for a
// running task to end. An error means that the target could not be asked.
func (p *Pool) Lookup(ctx context.Context, addr string, k key.Key, task int, ask Ask, wait time.Duration) (Status, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return Status{}, err
	}
	return e.lookup(ctx, k, task, ask, wait)
}

// Instance returns the run of the target that leased starts are meant for from
// now on. It asks the target at the first contact; the error is NotRun.
func (p *Pool) Instance(ctx context.Context, addr string) (string, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return "", err
	}
	c, err := e.clockAt(ctx, time.Now())
	return c.Instance, err
}

func (e *endpoint) lookup(ctx context.Context, k key.Key, task int, ask Ask, wait time.Duration) (Status, error) {
	done, err := e.control.turn(ctx)
	if err != nil {
		return Status{}, err
	}
	defer done()
	method, path := http.MethodGet, TaskPath(k, task)
	switch ask {
	case AskFence:
		method, path = http.MethodPost, path+PathFence
	case AskStop:
		method = http.MethodDelete
	}
	if wait > 0 {
		path += "?" + QueryWait + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	resp, err := e.call(ctx, method, path)
	if err != nil {
		return Status{}, err
	}
	st := Status{State: TaskState(resp.Header.Get(HeaderState))}
	if c, err := ParseClock(resp.Header.Get(HeaderClock)); err == nil {
		st.Instance = c.Instance
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
	done, err := e.control.turn(ctx)
	if err != nil {
		return Usage{}, err
	}
	defer done()
	resp, err := e.call(ctx, http.MethodGet, PathUsage)
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

// askClock reads the target's clock. The error is NotRun, as it is from before
// the start.
func (e *endpoint) askClock(ctx context.Context) error {
	done, err := e.control.turn(ctx)
	if err != nil {
		return err
	}
	defer done()
	resp, err := e.call(ctx, http.MethodGet, PathClock)
	if err != nil {
		r := verdict.Of(err).Reason
		return verdict.New(verdict.NotRun, r, "ask for the clock before the start: %w", err)
	}
	drain(resp)
	return nil
}

// call makes a control request over a fresh connection: an open one may have
// gone silent.
func (e *endpoint) call(ctx context.Context, method, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.addr+path, nil)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "build request: %w", err)
	}
	req.Close = true
	return e.roundTrip(e.control, req)
}
