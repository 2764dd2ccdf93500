package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/intake"
	"currantstall/internal/key"
	"currantstall/internal/strictjson"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// SubmissionBody is the body of POST /v1/submissions, which submits one job.
type SubmissionBody struct {
	Key   string   `json:"key,omitempty"`
	Kind  string   `json:"kind"`
	Team  string   `json:"team"`
	Tasks TaskList `json:"tasks"` // 1 to structs.MaxTasks (670)
	// Needs is the resources that each task needs. If it is absent, the needs
	// of the kind apply.
	Needs      *structs.Resources `json:"needs,omitempty"`
	DeadlineMS *int64             `json:"deadline_ms,omitempty"`
	// WaitMS limits the wait for the answer, in ms. If it is absent, the call
	// waits until the job has ended; 0 returns at once.
	WaitMS *int64 `json:"wait_ms,omitempty"`
}

// TaskList is the bodies of the tasks of a job. Of a list that is too long it holds one task
// more than a job may have.
type TaskList []json.RawMessage

// UnmarshalJSON implements json.Unmarshaler.
func (l *TaskList) UnmarshalJSON(b []byte) (err error) {
	*l, err = strictjson.DecodeList[json.RawMessage](b, structs.MaxTasks)
	return err
}

// SubmissionResponse is the response to a submission, or to a lookup or a cancel
// of one.
type SubmissionResponse struct {
	Key     string            `json:"key"`
	State   string            `json:"state"` // running or completed
	Verdict *verdict.Verdict  `json:"verdict,omitempty"`
	Answers []json.RawMessage `json:"answers,omitempty"` // one per task, in order
}

const (
	stateRunning   = "running"
	stateCompleted = "completed"
)

func (s *server) postSubmission(c echo.Context) error {
	arrived := time.Now()
	body, hold, err := s.readBody(c, maxSubmissionBytes)
	if err != nil {
		return s.refuseUndecoded(c, body, err)
	}
	var sb SubmissionBody
	if err := decodeStrict(body, &sb); err != nil {
		hold.Release()
		return s.refuseUndecoded(c, body, err)
	}
	w := newJobWork(&sb)
	if err := s.setKey(w, sb.Key); err != nil {
		hold.Release()
		return s.writeError(c, key.Key{}, err)
	}
	if err := s.validateWork(s.Manifests.Current(), w, arrived, sb.DeadlineMS); err != nil {
		hold.Release()
		return s.refuseWork(c, w, err)
	}
	return s.runJob(c, w, sb.WaitMS, hold)
}

func newJobWork(sb *SubmissionBody) *structs.Work {
	w := &structs.Work{Class: structs.Job, Kind: sb.Kind, Team: sb.Team}
	for _, t := range sb.Tasks {
		w.Tasks = append(w.Tasks, t)
	}
	if sb.Needs != nil {
		w.Needs = *sb.Needs
	}
	return w
}

// runJob runs the job and responds when the job has ended or the caller's wait is
// over, whichever is first. The job does not stop with the call. The state
// running is reported only when the job was accepted, so that a subsequent cancel
// finds the job; after acceptTimeout it is reported in any case.
func (s *server) runJob(c echo.Context, w *structs.Work, waitMS *int64, hold intake.Hold) error {
	done := make(chan structs.Outcome, 1)
	accepted := make(chan struct{})
	ctx := context.WithoutCancel(c.Request().Context())
	go func() {
		defer hold.Release()
		done <- s.Engine.Submit(ctx, w, func() { close(accepted) })
	}()
	var timeout <-chan time.Time
	if waitMS != nil {
		t := time.NewTimer(time.Duration(*waitMS) * time.Millisecond)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case o := <-done:
		return s.writeJob(c, w.Key, &o)
	case <-timeout:
	case <-c.Request().Context().Done():
		return nil
	}
	late := time.NewTimer(acceptTimeout)
	defer late.Stop()
	select {
	case o := <-done:
		return s.writeJob(c, w.Key, &o)
	case <-accepted:
	case <-late.C: // a duplicate of running work, or a slow claim
	case <-c.Request().Context().Done():
		return nil
	}
	return s.writeJob(c, w.Key, nil)
}

// writeJob sends the outcome of a job; nil means that the job is still running.
func (s *server) writeJob(c echo.Context, k key.Key, o *structs.Outcome) error {
	if o == nil {
		return c.JSON(http.StatusAccepted, SubmissionResponse{Key: k.String(), State: stateRunning})
	}
	if err := o.Err(); err != nil {
		return s.writeError(c, k, err)
	}
	body := SubmissionResponse{Key: k.String(), State: stateCompleted, Verdict: &o.Verdict}
	for _, a := range o.Answers {
		body.Answers = append(body.Answers, rawJSON(a))
	}
	c.Response().Header().Set(VerdictHeader, o.Verdict.String())
	return c.JSON(http.StatusOK, body)
}

// pathKey returns the key in the path.
func pathKey(c echo.Context) (key.Key, error) {
	k, err := key.Parse(c.Param("dc") + "/" + c.Param("id"))
	if err != nil {
		return k, verdict.New(verdict.NotRun, verdict.BadKey, "%w", err)
	}
	return k, nil
}

// getSubmission responds with the outcome of a request or submission. It waits
// for the outcome for at most the duration in the parameter wait.
func (s *server) getSubmission(c echo.Context) error {
	k, err := pathKey(c)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	var wait time.Duration
	if text := c.QueryParam("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxLookupWait {
			e := verdict.New(verdict.MayHaveRun, verdict.BadRequest, "parameter wait is %.40q, want a duration from 0s to %v", text, maxLookupWait)
			return s.writeError(c, k, e)
		}
	}
	o, err := s.Engine.Lookup(c.Request().Context(), k, wait)
	if err != nil {
		return s.writeError(c, k, err)
	}
	return s.writeJob(c, k, o)
}

// deleteSubmission cancels the tasks that have not started and responds with the
// outcome.
func (s *server) deleteSubmission(c echo.Context) error {
	k, err := pathKey(c)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	o, err := s.Engine.Cancel(c.Request().Context(), k)
	if err != nil {
		return s.writeError(c, k, err)
	}
	return s.writeJob(c, k, &o)
}
