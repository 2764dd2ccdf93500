package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// maxAnswer bounds an answer, in bytes: a page of rows in base64 or an object.
const maxAnswer = 64 << 20

// onceBody hides the type of its reader from net/http, which would otherwise
// set Request.GetBody and could send the request a second time by itself.
type onceBody struct{ io.Reader }

// send posts one request, at most once, and returns the whole answer. Its
// error is one of the package's, with ErrUnavailable only where nothing of
// the request can have taken effect.
func (c *Client) send(ctx context.Context, path string, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	if !c.circuit.enter(time.Now()) {
		return nil, fmt.Errorf("%s: outage: %w", path, ErrUnavailable)
	}
	data, err := c.roundTrip(ctx, path, body)
	c.observe(ctx, err)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return data, nil
}

// observe tells the circuit how a request ended. An answer that shows the
// platform at work is a success even if it is a refusal; a request that its
// own caller cancelled says nothing.
func (c *Client) observe(ctx context.Context, err error) {
	var answered *answerError
	switch {
	case err == nil, errors.As(err, &answered) && answered.code != CodeUnavailable:
		c.circuit.success()
	case errors.Is(ctx.Err(), context.Canceled):
		c.circuit.abandon()
	default:
		c.scope.Counter("failures").Inc(1)
		c.circuit.failure(time.Now())
	}
}

func (c *Client) roundTrip(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Once the header is complete the platform may act on the request; before
	// that it can't.
	var headerWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headerWritten.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req.Body = io.NopCloser(onceBody{bytes.NewReader(body)})
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if headerWritten.Load() {
			return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

func readAnswer(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, refusal(resp.StatusCode, data)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return data, nil
}

// answerError is a refusal that the platform itself has sent.
type answerError struct {
	code    Code
	message string
	is      error
}

func (e *answerError) Error() string { return fmt.Sprintf("%v (%s: %s)", e.is, e.code, e.message) }

// Unwrap returns the package's error that the code stands for.
func (e *answerError) Unwrap() error { return e.is }

// refusal returns the error of an answer. One without a known code comes from
// something between, which may have passed the request on.
func refusal(status int, data []byte) error {
	var body ErrorResponse
	_ = json.Unmarshal(data, &body)
	kinds := map[Code]error{
		CodeConflict:    ErrConflict,
		CodeNotFound:    ErrNotFound,
		CodeUnavailable: ErrUnavailable,
		CodeRateLimited: ErrUnavailable,
		CodeRejected:    ErrRejected,
	}
	is, ok := kinds[body.Code]
	if !ok {
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return &answerError{code: body.Code, message: body.Message, is: is}
}

// readError turns ErrUnknown, which is about writes, into ErrUnavailable.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}
