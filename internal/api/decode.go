package api

import (
	"encoding/json"
	"errors"

	"github.com/labstack/echo/v4"

	"currantstall/internal/intake"
	"currantstall/internal/key"
	"currantstall/internal/strictjson"
	"currantstall/internal/verdict"
)

// readBody reads a whole body of at most limit bytes, with memory from that for all
// requests. The caller must release the hold when the body is no longer used. The key in a
// body that was not read to its end is uncertain, so the errors do not claim that the
// request has not run.
func (s *server) readBody(c echo.Context, limit int64) (body []byte, hold intake.Hold, err error) {
	body, hold, err = s.Intake.ReadBody(c.Request(), limit)
	if err == nil {
		return body, hold, nil
	}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return body, hold, verdict.New(verdict.MayHaveRun, verdict.TooLarge, "request body is longer than the limit of %d bytes", limit)
	case errors.Is(err, intake.ErrNoRoom):
		c.Response().Header().Set("Connection", "close")
		return body, hold, verdict.New(verdict.MayHaveRun, verdict.MemoryFull, "request body was not read to its end: %w", err).WithRetryAfter(retryAfterMemoryFull)
	case errors.Is(err, intake.ErrTooSlow):
		c.Response().Header().Set("Connection", "close")
		return body, hold, verdict.New(verdict.MayHaveRun, verdict.TooSlow, "request body was not read to its end: %w", err)
	}
	return body, hold, verdict.New(verdict.MayHaveRun, verdict.BadRequest, "request body ended early, after %d bytes: %w", len(body), err)
}

// decodeStrict decodes one JSON value into v. It refuses unknown fields, wrong
// types and trailing bytes.
func decodeStrict(body []byte, v any) error {
	if err := strictjson.Decode(body, v); err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "request body is not valid: %w", err)
	}
	return nil
}

// findKey returns the key in a body that failed to decode, or the zero key if
// the body has no valid key. known is false if the body may have a key that can't
// be read.
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
		// No request is accepted with an invalid key.
		return key.Key{}, true
	}
	return k, true
}

// refuseUndecoded refuses a request whose body could not be read or decoded. The
// verdict is not_run only if the body has no valid key, or one of which the home
// of the key has no record.
func (s *server) refuseUndecoded(c echo.Context, body []byte, err error) error {
	e := verdict.FromError(err)
	k, known := findKey(body)
	if !known {
		e = verdict.New(verdict.MayHaveRun, e.Reason, "%s; the key of the request could not be determined", e.Message).WithRetryAfter(e.RetryAfter)
		return s.writeError(c, key.Key{}, e)
	}
	if k.IsZero() {
		return s.writeError(c, k, verdict.New(verdict.NotRun, e.Reason, "%s", e.Message).WithRetryAfter(e.RetryAfter))
	}
	return s.refuse(c, k, verdict.New(verdict.NotRun, e.Reason, "%s", e.Message).WithRetryAfter(e.RetryAfter))
}

// refuse refuses a request with a key that the caller supplied. Another copy of
// the request may have run, so the engine determines the verdict.
func (s *server) refuse(c echo.Context, k key.Key, err error) error {
	return s.writeError(c, k, s.Engine.Refuse(c.Request().Context(), k, err))
}
