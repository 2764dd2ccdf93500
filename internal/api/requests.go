package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Delays before a resubmission that refusals advise.
const (
	retryAfterMemoryFull = 200 * time.Millisecond
	retryAfterNotReady   = 500 * time.Millisecond
)

// RequestBody is the body of POST /v1/requests.
type RequestBody struct {
	Key  string          `json:"key,omitempty"` // minted by the entry if absent
	Kind string          `json:"kind"`
	Team string          `json:"team"`
	Body json.RawMessage `json:"body"`
	// DeadlineMS is the time from the arrival of the request to its deadline,
	// in ms. If it is absent, the deadline of the kind applies.
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
}

// RequestResponse is the response to a completed request.
type RequestResponse struct {
	Key     string          `json:"key"`
	Verdict verdict.Verdict `json:"verdict"`
	Answer  json.RawMessage `json:"answer"`
}

func (s *server) postRequest(c echo.Context) error {
	arrived := time.Now()
	m := s.Manifests.Current()
	limit := maxBodyBytes(m) + envelopeBytes
	body, hold, err := s.readBody(c, limit)
	if err != nil {
		return s.refuseUndecoded(c, body, err)
	}
	defer hold.Release()
	var rb RequestBody
	if err := decodeStrict(body, &rb); err != nil {
		return s.refuseUndecoded(c, body, err)
	}
	w := &structs.Work{
		Class: structs.Request,
		Kind:  rb.Kind,
		Team:  rb.Team,
		Tasks: [][]byte{rb.Body},
	}
	if err := s.setKey(w, rb.Key); err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	if err := s.validateWork(m, w, arrived, rb.DeadlineMS); err != nil {
		return s.refuseWork(c, w, err)
	}
	o := s.Engine.Do(c.Request().Context(), w)
	if err := o.Err(); err != nil {
		return s.writeError(c, w.Key, err)
	}
	c.Response().Header().Set(VerdictHeader, o.Verdict.String())
	return c.JSON(http.StatusOK, RequestResponse{Key: w.Key.String(), Verdict: o.Verdict, Answer: rawJSON(o.Answers[0])})
}

// refuseWork refuses work whose key is set. A key that was minted for this request
// has no other copy, so the verdict of err holds for it.
func (s *server) refuseWork(c echo.Context, w *structs.Work, err error) error {
	if w.FreshKey {
		return s.writeError(c, w.Key, err)
	}
	return s.refuse(c, w.Key, err)
}

// setKey sets the key of the work from the caller's text, or mints a key if the
// text is empty.
func (s *server) setKey(w *structs.Work, text string) error {
	if text == "" {
		k, err := s.Engine.Mint()
		if err != nil {
			return verdict.New(verdict.NotRun, verdict.Internal, "mint key: %w", err)
		}
		w.Key = k
		w.FreshKey = true
		return nil
	}
	k, err := key.Parse(text)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadKey, "%w", err)
	}
	w.Key = k
	return nil
}

// validateWork checks the work against the manifest and fills in the defaults of
// its kind. Its errors have the verdict NotRun, which holds for this copy of the
// request only.
func (s *server) validateWork(m *manifest.Manifest, w *structs.Work, arrived time.Time, deadlineMS *int64) error {
	if m == nil {
		return verdict.New(verdict.NotRun, verdict.NotReady, "this entry has received no manifest yet").WithRetryAfter(retryAfterNotReady)
	}
	kind := m.KindNamed(w.Kind)
	if kind == nil {
		return verdict.New(verdict.NotRun, verdict.UnknownKind, "kind %.40q is not in manifest version %d", w.Kind, m.Version)
	}
	if kind.WorkClass() != w.Class {
		return verdict.New(verdict.NotRun, verdict.UnknownKind, "kind %q is of class %s, which this endpoint does not accept", kind.Name, kind.Class)
	}
	if m.TeamNamed(w.Team) == nil {
		return verdict.New(verdict.NotRun, verdict.UnknownTeam, "team %.40q is not in manifest version %d", w.Team, m.Version)
	}
	if err := checkTasks(m, w); err != nil {
		return err
	}
	w.Repeatable = kind.Repeatable && w.Class == structs.Request
	if w.Needs == (structs.Resources{}) {
		w.Needs = kind.Needs
	}
	wait := kind.Deadline()
	if deadlineMS != nil {
		wait = time.Duration(*deadlineMS) * time.Millisecond
	}
	if wait <= 0 {
		return verdict.New(verdict.NotRun, verdict.DeadlinePassed, "the deadline passed %v before the request arrived", -wait)
	}
	w.Deadline = arrived.Add(wait)
	return nil
}

// checkTasks checks the number of tasks and the size of their bodies.
func checkTasks(m *manifest.Manifest, w *structs.Work) error {
	if len(w.Tasks) == 0 {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "a submission needs at least one task")
	}
	if len(w.Tasks) > structs.MaxTasks {
		return verdict.New(verdict.NotRun, verdict.TooManyTasks, "submission has %d or more tasks, the limit is %d", len(w.Tasks), structs.MaxTasks)
	}
	limit := maxBodyBytes(m)
	for i, t := range w.Tasks {
		if len(t) == 0 {
			return verdict.New(verdict.NotRun, verdict.BadRequest, "task %d has no body", i)
		}
		if int64(len(t)) > limit {
			return verdict.New(verdict.NotRun, verdict.TooLarge, "body of task %d has %d bytes, the limit is %d", i, len(t), limit)
		}
	}
	return nil
}

// maxBodyBytes returns the limit on the body of one task.
func maxBodyBytes(m *manifest.Manifest) int64 {
	if m == nil || m.Limits.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return m.Limits.MaxBodyBytes
}

// rawJSON returns the answer of a target as JSON: unchanged if it is valid JSON,
// else as a JSON string.
func rawJSON(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}
	s, err := json.Marshal(string(b))
	if err != nil {
		return json.RawMessage("null")
	}
	return s
}
