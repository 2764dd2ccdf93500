package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/strictjson"
	"currantstall/internal/verdict"
)

// readBody reads a whole body of at most limit bytes within the memory bound
// of all bodies. The caller must call release once the body is no longer used.
// A body that could not be read whole names no key for certain, so its refusal
// cannot say that the request has not run.
func (s *server) readBody(c echo.Context, limit int64) (body []byte, release func(), err error) {
	r := c.Request()
	size := r.ContentLength
	if size > limit {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.TooLarge, "body of %d bytes is over the limit of %d", size, limit)
	}
	if size < 0 {
		size = limit
	}
	if !s.bodyMemory.TryAcquire(size) {
		return nil, nil, verdict.New(verdict.MayHaveRun, verdict.MemoryFull, "no memory for a body of %d bytes now", size).WithRetryAfter(retryAfterMemoryFull)
	}
	release = func() { s.bodyMemory.Release(size) }
	body, err = io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, limit))
	if err == nil {
		return body, release, nil
	}
	release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return body, nil, verdict.New(verdict.MayHaveRun, verdict.TooLarge, "body is over the limit of %d bytes", limit)
	}
	return body, nil, verdict.New(verdict.MayHaveRun, verdict.BadRequest, "body ended early after %d bytes: %w", len(body), err)
}

// decodeStrict reads one JSON value into v. Unknown fields, wrong types and
// trailing bytes are errors.
func decodeStrict(body []byte, v any) error {
	if err := strictjson.Decode(body, v); err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "body is not valid: %w", err)
	}
	return nil
}

// findKey looks for the key in a body that failed to decode. known is false
// if the body may name a key that cannot be read.
func findKey(body []byte) (k key.Key, known bool) {
	var probe struct {
		Key *json.RawMessage `json:"key"`
	}
	if err := json.Unmarshal(body, &probe); err != nil {
		return key.Key{}, false
	}
	if probe.Key == nil {
		return key.Key{}, true
	}
	if err := json.Unmarshal(*probe.Key, &k); err != nil {
		// What is no key was never accepted under any.
		return key.Key{}, true
	}
	return k, true
}

// refuseUndecoded answers a body that could not be decoded. It says not_run
// only if the body names no key, or one that the key's home has not seen.
func (s *server) refuseUndecoded(c echo.Context, body []byte, err error) error {
	e := verdict.FromError(err)
	k, known := findKey(body)
	if !known {
		e = verdict.New(verdict.MayHaveRun, e.Reason, "%s; its key is not known", e.Message)
		return s.writeError(c, key.Key{}, e)
	}
	if k.IsZero() {
		return s.writeError(c, k, verdict.New(verdict.NotRun, e.Reason, "%s", e.Message))
	}
	return s.refuse(c, k, verdict.New(verdict.NotRun, e.Reason, "%s", e.Message))
}

// refuse answers a refusal of a caller's key with what is true of the request.
func (s *server) refuse(c echo.Context, k key.Key, err error) error {
	return s.writeError(c, k, s.Engine.Refuse(c.Request().Context(), k, err))
}
