package client

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/verdict"
)

// transportError tells a failed dial, which sent nothing, from all else.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.DialFailed, "%w", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.TargetLost, "no answer: %w", err)
}

// decodeError returns the error that an answer's body says. A body that says none
// proves nothing.
func decodeError(status int, body []byte) error {
	var e api.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Verdict == 0 {
		return verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "status %d with the body %.80q", status, body)
	}
	return &verdict.Error{
		Verdict:    e.Verdict,
		Reason:     e.Reason,
		Message:    e.Message,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond,
	}
}
