package taskserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// parseTaskID parses the task ID in the path.
func parseTaskID(c echo.Context) (TaskID, error) {
	k, err := key.Parse(c.Param("dc") + "/" + c.Param("id"))
	if err != nil {
		return TaskID{}, err
	}
	task, err := strconv.Atoi(c.Param("task"))
	if err != nil {
		return TaskID{}, err
	}
	return TaskID{Key: k, Task: task}, nil
}

func (s *Server) handleLookup(c echo.Context) error {
	return s.lookup(c, s.findRecord)
}

// handleFence looks up a task and fences it if it is unknown, so that it does
// not start later.
func (s *Server) handleFence(c echo.Context) error {
	return s.lookup(c, s.fenceTask)
}

// handleStop stops a running task and fences a queued or unknown one.
func (s *Server) handleStop(c echo.Context) error {
	return s.lookup(c, s.stopTask)
}

func (s *Server) lookup(c echo.Context, find func(TaskID) *record) error {
	id, err := parseTaskID(c)
	if err != nil {
		return writeBadRequest(c, err)
	}
	r := find(id)
	h := c.Response().Header()
	setTaskHeaders(h, id)
	if r == nil {
		h.Set(target.HeaderState, string(target.TaskUnknown))
		return c.NoContent(http.StatusOK)
	}
	if s.recordState(r) == fenced {
		h.Set(target.HeaderState, string(target.TaskFenced))
		return c.NoContent(http.StatusOK)
	}
	if !s.awaitEndForQuery(c, r) {
		h.Set(target.HeaderState, string(target.TaskRunning))
		return c.NoContent(http.StatusOK)
	}
	h.Set(target.HeaderState, string(target.TaskDone))
	return s.writeAnswer(c, r)
}

// awaitEndForQuery waits for the end of a task for as long as the query says,
// and reports whether the task has ended.
func (s *Server) awaitEndForQuery(c echo.Context, r *record) bool {
	ms, err := strconv.ParseInt(c.QueryParam(target.QueryWait), 10, 64)
	if err != nil || ms <= 0 {
		ms = 0
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxLookupWait)
	return s.awaitEnd(c.Request().Context(), r, wait+time.Nanosecond)
}

func (s *Server) recordState(r *record) state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.state
}

func (s *Server) findRecord(id TaskID) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// fenceTask returns the record of a task. For an unknown task it adds a record
// that prevents the start.
func (s *Server) fenceTask(id TaskID) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenceTaskLocked(id)
}

func (s *Server) fenceTaskLocked(id TaskID) *record {
	if r := s.records[id]; r != nil {
		return r
	}
	r := &record{id: id, state: fenced, ended: time.Now()}
	s.records[id] = r
	return r
}

// stopTask ends a running task and fences a queued or unknown one.
func (s *Server) stopTask(id TaskID) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.records[id]
	if r == nil {
		return s.fenceTaskLocked(id)
	}
	switch r.state {
	case queued:
		s.exec.removeQueued(r)
		r.refuse(target.RefusedFenced, now)
		delete(s.records, id)
		return s.fenceTaskLocked(id)
	case running:
		s.exec.remove(r, now)
		r.finish(verdict.Failed, []byte("stopped"), now)
		s.recentlyEnded = append(s.recentlyEnded, r)
		s.startQueued(now)
		s.resetTimer()
	}
	return r
}

// Checkpoint is the response to a checkpoint request.
type Checkpoint struct {
	Progress float64 `json:"progress"` // fraction of the work that is done, 0 to 1
}

func (s *Server) handleCheckpoint(c echo.Context) error {
	id, err := parseTaskID(c)
	if err != nil {
		return writeBadRequest(c, err)
	}
	s.mu.Lock()
	r := s.records[id]
	if r == nil || r.state != running {
		s.mu.Unlock()
		return c.NoContent(http.StatusNotFound)
	}
	p := s.exec.progress(r, time.Now())
	s.mu.Unlock()
	return c.JSON(http.StatusOK, Checkpoint{Progress: p})
}

// handleThrottle slows down the remaining work of a running task by the query
// parameter factor.
func (s *Server) handleThrottle(c echo.Context) error {
	id, err := parseTaskID(c)
	if err != nil {
		return writeBadRequest(c, err)
	}
	factor, err := strconv.ParseFloat(c.QueryParam("factor"), 64)
	if err != nil || factor <= 0 {
		return c.String(http.StatusBadRequest, "factor must be above 0\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil || r.state != running {
		return c.NoContent(http.StatusNotFound)
	}
	s.exec.throttle(r, factor, time.Now())
	s.resetTimer()
	return c.NoContent(http.StatusNoContent)
}

// handleUsage reports the tasks that were running UsageLag ago.
func (s *Server) handleUsage(c echo.Context) error {
	b, err := json.Marshal(s.usage(time.Now()))
	if err != nil {
		return err
	}
	h := c.Response().Header()
	h.Set(target.HeaderChecksum, target.Checksum(b))
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(b)))
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, b)
}

func (s *Server) usage(now time.Time) target.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimRecentlyEnded(now)
	observedAt := now.Add(-s.cfg.UsageLag)
	u := target.Usage{AgeMS: s.cfg.UsageLag.Milliseconds(), Tasks: []target.TaskUsage{}}
	for _, list := range [][]*record{s.exec.tasks, s.recentlyEnded} {
		for _, r := range list {
			if r.started.After(observedAt) || (!r.ended.IsZero() && !r.ended.After(observedAt)) {
				continue
			}
			u.Used = u.Used.Plus(r.needs)
			u.Tasks = append(u.Tasks, taskUsage(r, observedAt))
		}
	}
	return u
}

func taskUsage(r *record, at time.Time) target.TaskUsage {
	return target.TaskUsage{
		Key:       r.id.Key,
		Task:      r.id.Task,
		Kind:      r.kind,
		RunningMS: at.Sub(r.started).Milliseconds(),
		Used:      r.needs,
	}
}
