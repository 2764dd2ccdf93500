package taskserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// maxLookupWait bounds the wait of a status lookup.
const maxLookupWait = time.Minute

// StartCounts is the response to GET /starts.
type StartCounts struct {
	Starts map[string]int `json:"starts"` // by <key>/<task>
	Total  int            `json:"total"`
	Twice  int            `json:"twice"` // tasks with more than one start
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	e := echo.New()
	e.Use(s.setHeaders)
	const taskPath = target.PathTasks + "/:dc/:id/:task"
	e.POST(target.PathTasks, s.handleStart)
	e.GET(taskPath, s.handleLookup)
	e.POST(taskPath+target.PathFence, s.handleFence)
	e.DELETE(taskPath, s.handleStop)
	e.POST(taskPath+"/checkpoint", s.handleCheckpoint)
	e.POST(taskPath+"/throttle", s.handleThrottle)
	e.GET(target.PathClock, func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET(target.PathUsage, s.handleUsage)
	e.GET("/starts", s.handleStarts)
	e.POST("/faults", s.handleFaults)
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	return e
}

// setHeaders sets the clock and leaving headers of every response.
func (s *Server) setHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		c.Response().Before(func() {
			h.Set(target.HeaderClock, s.clock(time.Now()).String())
			if s.Faults().Leaving {
				h.Set(target.HeaderLeaving, "true")
			}
		})
		return next(c)
	}
}

func (s *Server) handleStart(c echo.Context) error {
	r, err := parseStart(c.Request())
	if err != nil {
		return writeBadRequest(c, err)
	}
	if s.Faults().ErrorFast {
		s.startAndFail(r)
		return c.NoContent(http.StatusInternalServerError)
	}
	s.admit(r)
	if !s.awaitEnd(c.Request().Context(), r, 0) {
		return nil
	}
	return s.writeAnswer(c, r)
}

// startAndFail records a task that starts and fails at once.
func (s *Server) startAndFail(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.records[r.id] = r
	s.starts[r.id] = append(s.starts[r.id], now)
	r.started = now
	r.finish(verdict.Failed, []byte("failed at once"), now)
}

// awaitEnd waits until a task has ended or ctx is done, for at most timeout if
// that is above 0. It reports whether the task has ended.
func (s *Server) awaitEnd(ctx context.Context, r *record, timeout time.Duration) bool {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	select {
	case <-r.settled:
		return true
	case <-ctx.Done():
	}
	select {
	case <-r.settled:
		return true
	default:
		return false
	}
}

// parseStart parses a request that starts a task.
func parseStart(req *http.Request) (*record, error) {
	h := req.Header
	k, err := key.Parse(h.Get(target.HeaderKey))
	if err != nil {
		return nil, err
	}
	task, err := strconv.Atoi(h.Get(target.HeaderTask))
	if err != nil || task < 0 || task >= structs.MaxTasks {
		return nil, fmt.Errorf("task index %.20q is not a number in range", h.Get(target.HeaderTask))
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	r := &record{
		id:      TaskID{Key: k, Task: task},
		kind:    h.Get(target.HeaderKind),
		digest:  target.Checksum(body),
		settled: make(chan struct{}),
	}
	if text := h.Get(target.HeaderNotAfter); text != "" {
		notAfter, err := target.ParseClock(text)
		if err != nil {
			return nil, err
		}
		r.notAfter = &notAfter
	}
	if json.Unmarshal(body, &r.spec) != nil {
		r.spec = Spec{}
	}
	r.needs = r.spec.Uses
	if r.needs == (structs.Resources{}) {
		r.needs = declaredNeeds(h)
	}
	return r, nil
}

func declaredNeeds(h http.Header) structs.Resources {
	headerInt := func(name string) int64 {
		n, err := strconv.ParseInt(h.Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return structs.Resources{
		MilliCPU:     headerInt(target.HeaderMilliCPU),
		MemoryMB:     headerInt(target.HeaderMemory),
		Accelerators: headerInt(target.HeaderAccelerators),
	}
}

func writeBadRequest(c echo.Context, err error) error {
	h := c.Response().Header()
	for _, name := range []string{target.HeaderKey, target.HeaderTask} {
		h.Set(name, c.Request().Header.Get(name))
	}
	h.Set(target.HeaderVerdict, verdict.NotRun.String())
	h.Set(target.HeaderReason, string(target.RefusedBadRequest))
	return c.String(http.StatusBadRequest, err.Error()+"\n")
}

// writeAnswer sends the outcome of a task, altered by the injected faults.
func (s *Server) writeAnswer(c echo.Context, r *record) error {
	sent, truncate, delay := s.drawAnswerFaults(r)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-c.Request().Context().Done():
			return nil
		}
	}
	h := c.Response().Header()
	setTaskHeaders(h, sent.id)
	if sent.state == refused {
		h.Set(target.HeaderVerdict, verdict.NotRun.String())
		h.Set(target.HeaderReason, string(sent.refusal))
		return c.NoContent(http.StatusServiceUnavailable)
	}
	h.Set(target.HeaderVerdict, sent.verdict.String())
	h.Set(target.HeaderRunTime, strconv.FormatInt(sent.ended.Sub(sent.started).Microseconds(), 10))
	h.Set(target.HeaderChecksum, target.Checksum(sent.body))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(sent.body)))
	setUsageHeaders(h, sent.needs)
	status := http.StatusOK
	if sent.verdict == verdict.Failed {
		status = http.StatusUnprocessableEntity
	}
	if truncate {
		return writeTruncatedAnswer(c, status, sent.body)
	}
	return c.Blob(status, echo.MIMEOctetStream, sent.body)
}

// drawAnswerFaults draws which record is sent as the answer of a task, whether
// the answer is truncated and by how much it is delayed.
func (s *Server) drawAnswerFaults(r *record) (sent *record, truncate bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent = r
	f := &s.faults
	if last := s.lastDone; f.Cross > 0 && s.rng.Float64() < f.Cross && last != nil && last.id != r.id {
		sent = last
	}
	if r.state == done {
		s.lastDone = r
	}
	truncate = f.Truncate > 0 && s.rng.Float64() < f.Truncate
	if f.Late > 0 && s.rng.Float64() < f.Late {
		delay = time.Duration(f.LateMS) * time.Millisecond
	}
	return sent, truncate, delay
}

// writeTruncatedAnswer sends half of an answer and aborts the connection.
func writeTruncatedAnswer(c echo.Context, status int, body []byte) error {
	w := c.Response()
	w.WriteHeader(status)
	if _, err := w.Write(body[:len(body)/2]); err != nil {
		return err
	}
	w.Flush()
	panic(http.ErrAbortHandler)
}

func setTaskHeaders(h http.Header, id TaskID) {
	h.Set(target.HeaderKey, id.Key.String())
	h.Set(target.HeaderTask, strconv.Itoa(id.Task))
}

func setUsageHeaders(h http.Header, r structs.Resources) {
	if r == (structs.Resources{}) {
		return
	}
	h.Set(target.HeaderMilliCPU, strconv.FormatInt(r.MilliCPU, 10))
	h.Set(target.HeaderMemory, strconv.FormatInt(r.MemoryMB, 10))
	h.Set(target.HeaderAccelerators, strconv.FormatInt(r.Accelerators, 10))
}

func (s *Server) handleStarts(c echo.Context) error {
	out := StartCounts{Starts: make(map[string]int)}
	for id, n := range s.Starts() {
		out.Starts[id.String()] = n
		out.Total += n
		if n > 1 {
			out.Twice++
		}
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) handleFaults(c echo.Context) error {
	var f Faults
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}
