package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
)

// Defaults of Config.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultWritesPerSecond = 150
	DefaultProbeInterval   = time.Second
	DefaultOutageAfter     = 3
)

const (
	idleConns       = 16
	idleConnTimeout = 20 * time.Second
)

// Config sets up a Client. Zero values stand for the defaults.
type Config struct {
	// URL is the base URL of the platform, http://host:port.
	URL string
	// Timeout bounds one request, from the dial to the whole answer.
	Timeout time.Duration
	// WritesPerSecond is the budget of this process for rows and objects
	// written.
	WritesPerSecond float64
	// ProbeInterval is the time between two attempts during an outage.
	ProbeInterval time.Duration
	// OutageAfter is the number of failures in a row that make an outage.
	OutageAfter int
	// Metrics counts; nil counts nowhere.
	Metrics *metrics.Metrics
}

// Client implements Platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	budget  *Budget
	circuit *circuit
	scope   tally.Scope
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at cfg.URL. It connects on first
// use.
func NewClient(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("platform address %q is not a URL with a host", cfg.URL)
	}
	cfg = cfg.withDefaults()
	scope := cfg.Metrics.Scope().SubScope("platform")
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		base: u.Scheme + "://" + u.Host,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		timeout: cfg.Timeout,
		budget:  NewBudget(cfg.WritesPerSecond),
		circuit: newCircuit(cfg.OutageAfter, cfg.ProbeInterval, scope.Gauge("outage")),
		scope:   scope,
	}, nil
}

func (cfg Config) withDefaults() Config {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = DefaultProbeInterval
	}
	if cfg.OutageAfter <= 0 {
		cfg.OutageAfter = DefaultOutageAfter
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	return cfg
}

// Outage reports whether the platform is held to be down. Requests then fail
// at once, but for one at each probe interval.
func (c *Client) Outage() bool { return c.circuit.isOpen() }

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathGet, GetRequest{Key: key}, &row)
	return row, err
}

// Scan implements Table. A page holds at most MaxScanRows.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var page ScanResponse
	err := c.read(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &page)
	return page.Rows, err
}

// Commit implements Table. It waits for the write budget if it writes.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	if len(txn.Puts) == 0 {
		_, err := c.send(ctx, PathCommit, body)
		return readError(err)
	}
	return c.write(ctx, PathCommit, body, len(txn.Puts))
}

// PutObject implements Objects. It waits for the write budget.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, PathObjectPut+"?name="+url.QueryEscape(name), data, 1)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := c.send(ctx, PathObjectGet+"?name="+url.QueryEscape(name), nil)
	return data, readError(err)
}

// VMs implements List.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var list VMsResponse
	err := c.read(ctx, PathVMs, struct{}{}, &list)
	return list.VMs, err
}

// Announce implements List. It is no write to the table and needs no budget.
func (c *Client) Announce(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encode VM: %w", err)
	}
	return c.write(ctx, PathAnnounce, body, 0)
}

func (c *Client) read(ctx context.Context, path string, req, answer any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	data, err := c.send(ctx, path, body)
	if err != nil {
		return readError(err)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%s: answer is no JSON: %w", path, ErrUnavailable)
	}
	return nil
}

func (c *Client) write(ctx context.Context, path string, body []byte, rows int) error {
	if c.circuit.blocked(time.Now()) {
		return fmt.Errorf("%s: outage: %w", path, ErrUnavailable)
	}
	if err := c.budget.Wait(ctx, rows); err != nil {
		return fmt.Errorf("write budget: %w: %w", ErrUnavailable, err)
	}
	_, err := c.send(ctx, path, body)
	c.scope.Counter("rows_written").Inc(int64(rows))
	return err
}
