package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// SubmissionBody is the body of POST /v1/submissions: one job.
type SubmissionBody struct {
	Key   string            `json:"key,omitempty"`
	Kind  string            `json:"kind"`
	Team  string            `json:"team"`
	Tasks []json.RawMessage `json:"tasks"` // 1 to 670
	// Needs of each task; without it the kind's needs apply.
	Needs      *structs.Resources `json:"needs,omitempty"`
	DeadlineMS *int64             `json:"deadline_ms,omitempty"`
	// WaitMS bounds the wait for the answer, in ms. Without it the call
	// waits until the job is over; 0 returns at once.
	WaitMS *int64 `json:"wait_ms,omitempty"`
}

// SubmissionResponse is the answer to a submission.
type SubmissionResponse struct {
	Key     string            `json:"key"`
	State   string            `json:"state"` // running or completed
	Verdict *verdict.Verdict  `json:"verdict,omitempty"`
	Answers []json.RawMessage `json:"answers,omitempty"` // one a task, in order
}

const (
	stateRunning   = "running"
	stateCompleted = "completed"
)

func (s *server) postSubmission(c echo.Context) error {
	arrived := time.Now()
	body, release, err := s.readBody(c, maxSubmissionBytes)
	if err != nil {
		return s.refuseUndecoded(c, body, err)
	}
	var sb SubmissionBody
	if err := decodeStrict(body, &sb); err != nil {
		release()
		return s.refuseUndecoded(c, body, err)
	}
	w := newJobWork(&sb)
	if err := s.setKey(w, sb.Key); err != nil {
		release()
		return s.writeError(c, key.Key{}, err)
	}
	if err := s.validateWork(s.Manifests.Current(), w, arrived, sb.DeadlineMS); err != nil {
		release()
		return s.refuseWork(c, w, err)
	}
	return s.runJob(c, w, sb.WaitMS, release)
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

// runJob runs the job and answers when it is over or when the caller's wait
// ends, whichever is first. The job does not stop with the call. "Running" is
// said of a job that was accepted, so that a cancel that follows finds it; after
// acceptTimeout it is said without that, too.
func (s *server) runJob(c echo.Context, w *structs.Work, waitMS *int64, release func()) error {
	done := make(chan structs.Outcome, 1)
	accepted := make(chan struct{})
	ctx := context.WithoutCancel(c.Request().Context())
	go func() {
		defer release()
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
	case <-late.C: // a copy of work that runs, or a slow claim
	case <-c.Request().Context().Done():
		return nil
	}
	return s.writeJob(c, w.Key, nil)
}

// writeJob sends a job's outcome; nil stands for one that still runs.
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

// pathKey reads the key in the path.
func pathKey(c echo.Context) (key.Key, error) {
	k, err := key.Parse(c.Param("dc") + "/" + c.Param("id"))
	if err != nil {
		return k, verdict.New(verdict.NotRun, verdict.BadKey, "%w", err)
	}
	return k, nil
}

// getSubmission answers with the outcome of a request or submission, waiting
// for it as long as the parameter wait says.
func (s *server) getSubmission(c echo.Context) error {
	k, err := pathKey(c)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	var wait time.Duration
	if text := c.QueryParam("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxLookupWait {
			e := verdict.New(verdict.MayHaveRun, verdict.BadRequest, "wait %.40q is not a duration of 0s to %v", text, maxLookupWait)
			return s.writeError(c, k, e)
		}
	}
	o, err := s.Engine.Lookup(c.Request().Context(), k, wait)
	if err != nil {
		return s.writeError(c, k, err)
	}
	return s.writeJob(c, k, o)
}

// deleteSubmission cancels what has not started and answers with the outcome.
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
