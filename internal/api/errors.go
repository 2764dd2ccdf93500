package api

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// VerdictHeader is the header with the verdict in every response to a request or
// submission.
const VerdictHeader = "Currantstall-Verdict"

// ErrorBody is the response body for a refusal or failure.
type ErrorBody struct {
	Key          string          `json:"key,omitempty"`
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       verdict.Reason  `json:"reason"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

// errorBody returns the response body for e, without a key.
func errorBody(e *verdict.Error) *ErrorBody {
	return &ErrorBody{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds()}
}

// httpStatus returns the HTTP status code for e.
func httpStatus(e *verdict.Error) int {
	switch e.Reason {
	case verdict.BadRequest, verdict.BadKey, verdict.KeyFromFuture, verdict.UnknownKind, verdict.UnknownTeam,
		verdict.UnknownDC, verdict.TooManyTasks, verdict.DeadlinePassed, verdict.NeverFits, verdict.ManifestInvalid:
		return http.StatusBadRequest
	case verdict.NotFound:
		return http.StatusNotFound
	case verdict.KeyConflict, verdict.ManifestConflict, verdict.RanElsewhere, verdict.Cancelled:
		return http.StatusConflict
	case verdict.KeyExpired:
		return http.StatusGone
	case verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.QueueFull, verdict.QuotaExceeded, verdict.DeadlineUnmeetable, verdict.RefusedElsewhere:
		return http.StatusTooManyRequests
	case verdict.Timeout:
		return http.StatusGatewayTimeout
	}
	if e.Verdict == verdict.Failed {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeError counts the error and sends it to the caller. A zero key is omitted.
func (s *server) writeError(c echo.Context, k key.Key, err error) error {
	e := verdict.FromError(err)
	s.Metrics.CountRefused(e)
	body := errorBody(e)
	if !k.IsZero() {
		body.Key = k.String()
	}
	c.Response().Header().Set(VerdictHeader, e.Verdict.String())
	return c.JSON(httpStatus(e), body)
}

// handleError responds to requests that echo itself refuses, such as those with
// an unknown path. No handler received such a request, so nothing ran.
func (s *server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code := http.StatusInternalServerError
	e := verdict.FromError(err)
	var he *echo.HTTPError
	if errors.As(err, &he) {
		code = he.Code
		e = verdict.New(verdict.NotRun, verdict.BadRequest, "%s", fmt.Sprint(he.Message))
	}
	s.Metrics.CountRefused(e)
	c.Response().Header().Set(VerdictHeader, e.Verdict.String())
	if err := c.JSON(code, errorBody(e)); err != nil {
		s.Log.Debug("error response could not be sent", "err", err)
	}
}
