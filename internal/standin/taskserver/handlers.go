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

// maxWait bounds the wait of a look-up.
const maxWait = time.Minute

// StartCounts is the answer to GET /starts.
type StartCounts struct {
	Starts map[string]int `json:"starts"` // by <key>/<task>
	Total  int            `json:"total"`
	Twice  int            `json:"twice"` // tasks with more than one start
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	e := echo.New()
	e.Use(s.head)
	const task = target.PathTasks + "/:dc/:id/:task"
	e.POST(target.PathTasks, s.handleStart)
	e.GET(task, s.handleLookup)
	e.POST(task+target.PathFence, s.handleFence)
	e.DELETE(task, s.handleStop)
	e.POST(task+"/checkpoint", s.handleCheckpoint)
	e.POST(task+"/throttle", s.handleThrottle)
	e.GET(target.PathClock, func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET(target.PathUsage, s.handleUsage)
	e.GET("/starts", s.handleStarts)
	e.POST("/faults", s.handleFaults)
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	return e
}

// head sets the headers of every answer.
func (s *Server) head(next echo.HandlerFunc) echo.HandlerFunc {
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
	r, err := readStart(c.Request())
	if err != nil {
		return badRequest(c, err)
	}
	if s.Faults().ErrorFast {
		s.startAndFail(r)
		return c.NoContent(http.StatusInternalServerError)
	}
	s.begin(r)
	if !s.await(c.Request().Context(), r, 0) {
		return nil
	}
	return s.answer(c, r)
}

// startAndFail notes a task that started and failed at once.
func (s *Server) startAndFail(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.records[r.id] = r
	s.starts[r.id]++
	r.started = now
	r.end(verdict.Failed, []byte("failed at once"), now)
}

// await waits for the end of a task, up to limit if that is above 0. It
// reports whether the task is over.
func (s *Server) await(ctx context.Context, r *record, limit time.Duration) bool {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	select {
	case <-r.over:
		return true
	case <-ctx.Done():
	}
	select {
	case <-r.over:
		return true
	default:
		return false
	}
}

// readStart reads a start.
func readStart(req *http.Request) (*record, error) {
	h := req.Header
	k, err := key.Parse(h.Get(target.HeaderKey))
	if err != nil {
		return nil, err
	}
	task, err := strconv.Atoi(h.Get(target.HeaderTask))
	if err != nil || task < 0 || task >= structs.MaxTasks {
		return nil, fmt.Errorf("task %.20q is not an index", h.Get(target.HeaderTask))
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	r := &record{
		id:     TaskID{Key: k, Task: task},
		kind:   h.Get(target.HeaderKind),
		digest: target.Checksum(body),
		over:   make(chan struct{}),
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
	number := func(name string) int64 {
		n, err := strconv.ParseInt(h.Get(name), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return structs.Resources{
		MilliCPU:     number(target.HeaderMilliCPU),
		MemoryMB:     number(target.HeaderMemory),
		Accelerators: number(target.HeaderAccelerators),
	}
}

func badRequest(c echo.Context, err error) error {
	h := c.Response().Header()
	for _, name := range []string{target.HeaderKey, target.HeaderTask} {
		h.Set(name, c.Request().Header.Get(name))
	}
	h.Set(target.HeaderVerdict, verdict.NotRun.String())
	h.Set(target.HeaderReason, string(target.RefusedBadRequest))
	return c.String(http.StatusBadRequest, err.Error()+"\n")
}

// answer sends the end of a task, as far as the faults allow.
func (s *Server) answer(c echo.Context, r *record) error {
	sent, cut, wait := s.disturb(r)
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.Request().Context().Done():
			return nil
		}
	}
	h := c.Response().Header()
	setTask(h, sent.id)
	if sent.state == refused {
		h.Set(target.HeaderVerdict, verdict.NotRun.String())
		h.Set(target.HeaderReason, string(sent.refusal))
		return c.NoContent(http.StatusServiceUnavailable)
	}
	h.Set(target.HeaderVerdict, sent.verdict.String())
	h.Set(target.HeaderRunTime, strconv.FormatInt(sent.ended.Sub(sent.started).Microseconds(), 10))
	h.Set(target.HeaderChecksum, target.Checksum(sent.body))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(sent.body)))
	setUsed(h, sent.needs)
	status := http.StatusOK
	if sent.verdict == verdict.Failed {
		status = http.StatusUnprocessableEntity
	}
	if cut {
		return cutAnswer(c, status, sent.body)
	}
	return c.Blob(status, echo.MIMEOctetStream, sent.body)
}

// disturb picks what is sent in place of a task's proper answer.
func (s *Server) disturb(r *record) (sent *record, cut bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent = r
	f := &s.faults
	if other := s.lastEnd; f.Cross > 0 && s.rng.Float64() < f.Cross && other != nil && other.id != r.id {
		sent = other
	}
	if r.state == done {
		s.lastEnd = r
	}
	cut = f.Truncate > 0 && s.rng.Float64() < f.Truncate
	if f.Late > 0 && s.rng.Float64() < f.Late {
		wait = time.Duration(f.LateMS) * time.Millisecond
	}
	return sent, cut, wait
}

// cutAnswer sends half of an answer and breaks the connection.
func cutAnswer(c echo.Context, status int, body []byte) error {
	w := c.Response()
	w.WriteHeader(status)
	if _, err := w.Write(body[:len(body)/2]); err != nil {
		return err
	}
	w.Flush()
	panic(http.ErrAbortHandler)
}

func setTask(h http.Header, id TaskID) {
	h.Set(target.HeaderKey, id.Key.String())
	h.Set(target.HeaderTask, strconv.Itoa(id.Task))
}

func setUsed(h http.Header, r structs.Resources) {
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
