// Package client calls an entry's HTTP interface with the types of
// internal/api. Refusals and failures are returned as *verdict.Error.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/manifest"
	"currantstall/internal/verdict"
)

// maxAnswerBytes bounds the body of a response.
const maxAnswerBytes = 1 << 30

// Client calls one entry. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the entry at baseURL, http://HOST:PORT. Each call
// opens a connection of its own: on a kept connection that turns out to be
// stale, the HTTP transport may resend a request by itself.
func New(baseURL string) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("entry URL %.80q is not of the form http://HOST:PORT", baseURL)
	}
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		http:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// Request runs one request and returns its answer.
func (c *Client) Request(ctx context.Context, r api.RequestBody) (api.RequestResponse, error) {
	var a api.RequestResponse
	err := c.postWork(ctx, r.Key, "/v1/requests", r, &a)
	return a, err
}

// Submit runs one job. The answer's verdict is nil while the job runs.
func (c *Client) Submit(ctx context.Context, s api.SubmissionBody) (api.SubmissionResponse, error) {
	var j api.SubmissionResponse
	err := c.postWork(ctx, s.Key, "/v1/submissions", s, &j)
	return j, err
}

// Lookup returns the state of the work under a key. It waits up to wait for the
// outcome.
func (c *Client) Lookup(ctx context.Context, key string, wait time.Duration) (api.SubmissionResponse, error) {
	var j api.SubmissionResponse
	err := c.call(ctx, http.MethodGet, "/v1/submissions/"+key+"?wait="+wait.String(), nil, &j)
	return j, err
}

// Cancel cancels the tasks of a key that have not started and returns the
// outcome of the key.
func (c *Client) Cancel(ctx context.Context, key string) (api.SubmissionResponse, error) {
	var j api.SubmissionResponse
	err := c.call(ctx, http.MethodDelete, "/v1/submissions/"+key, nil, &j)
	return j, err
}

// Keys mints count keys.
func (c *Client) Keys(ctx context.Context, count int) ([]string, error) {
	var k api.KeysResponse
	err := c.call(ctx, http.MethodPost, "/v1/keys?count="+strconv.Itoa(count), nil, &k)
	return k.Keys, err
}

// Manifest returns the manifest in force.
func (c *Client) Manifest(ctx context.Context) (*manifest.Manifest, error) {
	var m manifest.Manifest
	if err := c.call(ctx, http.MethodGet, "/v1/manifest", nil, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// Apply replaces version base by the manifest in text (YAML or JSON) and
// returns the accepted version.
func (c *Client) Apply(ctx context.Context, base uint64, text []byte) (uint64, error) {
	var m api.ManifestResponse
	err := c.call(ctx, http.MethodPut, "/v1/manifest?base="+strconv.FormatUint(base, 10), text, &m)
	return m.Version, err
}

// Account returns up to limit lines of the account after a position.
func (c *Client) Account(ctx context.Context, after string, limit int) (api.AccountPage, error) {
	var a api.AccountPage
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, "/v1/account?"+query.Encode(), nil, &a)
	return a, err
}

// Claim claims keys for the old system. The entries do not run a granted key.
func (c *Client) Claim(ctx context.Context, keys []string) (api.ClaimsResponse, error) {
	var a api.ClaimsResponse
	body, err := json.Marshal(api.ClaimsRequest{Keys: keys})
	if err != nil {
		return a, fmt.Errorf("encode claims: %w", err)
	}
	err = c.call(ctx, http.MethodPost, "/v1/account/claims", body, &a)
	return a, err
}

// Status returns the status of the entry.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var s api.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// postWork submits work. Without an answer it can't be ruled out that the work
// started. If the key is the caller's, this holds even after a failed dial,
// since an earlier submission with the key may have run.
func (c *Client) postWork(ctx context.Context, key, path string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "encode the request: %w", err)
	}
	err = c.call(ctx, http.MethodPost, path, b, answer)
	if e := verdict.FromError(err); e != nil && e.Reason == verdict.DialFailed && key != "" {
		return verdict.New(verdict.MayHaveRun, verdict.DialFailed, "%w; an earlier submission with this key may have run", e)
	}
	return err
}

// call makes one HTTP call and decodes the response into answer. A nil body
// sends none.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.TruncatedAnswer, "read the answer: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp.StatusCode, b)
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "decode the answer: %w", err)
	}
	return nil
}
