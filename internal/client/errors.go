package client

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/verdict"
)

// transportError returns the error of a call without a response: not_run after
// a failed dial, which sent nothing, and may_have_run otherwise.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.DialFailed, "%w", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.TargetLost, "no answer from the entry: %w", err)
}

// decodeError returns the error in the body of a response. A body without a
// verdict proves nothing, so its error is may_have_run.
func decodeError(status int, body []byte) error {
	var e api.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Verdict == 0 {
		return verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "response with status %d has no verdict, body %.80q", status, body)
	}
	return &verdict.Error{
		Verdict:    e.Verdict,
		Reason:     e.Reason,
		Message:    e.Message,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond,
	}
}
