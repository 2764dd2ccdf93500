// Package verdict defines the error type of the dispatcher. The verdict of an
// error tells the caller of a request that was not answered whether the request
// may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states what is known about the execution of a request or job.
type Verdict uint8

// The verdicts, from the one that allows the caller to repeat the request to the
// one after which there is no need to.
const (
	// NotRun proves that nothing was started under the key, and that no copy
	// of the request received before the refusal will start later.
	NotRun Verdict = iota + 1
	// MayHaveRun means that a start cannot be ruled out.
	MayHaveRun
	// Failed means that the work ran, has ended, and was not successful.
	Failed
	// Completed means that the work ran and its whole answer is known.
	Completed
)

var verdictNames = [...]string{"", "not_run", "may_have_run", "failed", "completed"}

// String returns the name used on the wire and in headers: not_run,
// may_have_run, failed or completed; "unknown" for the zero value.
func (v Verdict) String() string {
	if v == 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Parse returns the verdict with the name s. It is the inverse of String, and
// returns an error for any other text.
func Parse(s string) (Verdict, error) {
	for v := NotRun; v <= Completed; v++ {
		if verdictNames[v] == s {
			return v, nil
		}
	}
	return 0, fmt.Errorf("unknown verdict %q", s)
}

// MarshalText encodes the verdict as its name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a name. It returns the error of Parse.
func (v *Verdict) UnmarshalText(b []byte) error {
	p, err := Parse(string(b))
	if err != nil {
		return err
	}
	*v = p
	return nil
}

// Error is the refusal or failure of a request. It is counted under its Reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Message is one line of text for people.
	Message string
	// RetryAfter is the shortest useful wait before a resubmission; 0 means
	// that the error advises none.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// New returns an Error with a formatted message. A %w verb sets the cause.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Verdict: v, Reason: r, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// WithRetryAfter returns a copy of the error that advises a wait of d before a
// resubmission.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns verdict, reason and message in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Verdict, e.Reason, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FromError returns the Error in err's chain. An error without one may come from
// any step, so it is reported as MayHaveRun with reason Internal. FromError(nil)
// is nil.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: Internal, Message: err.Error(), Err: err}
}
