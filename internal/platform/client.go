package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
)

// Defaults of Config.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultWritesPerSecond = 150
	DefaultProbeInterval   = time.Second
	DefaultOutageThreshold = 3
)

// Config configures a Client. Zero values stand for the defaults.
type Config struct {
	// Timeout bounds one request, from the dial to the end of the response.
	Timeout time.Duration
	// WritesPerSecond is the write budget of this process, in rows and
	// objects.
	WritesPerSecond float64
	// ProbeInterval is the time between two probe requests during an outage.
	ProbeInterval time.Duration
	// OutageThreshold is the number of consecutive failures that start an
	// outage.
	OutageThreshold int
	// Metrics receives the client's metrics; nil disables them.
	Metrics *metrics.Metrics
}

// Client wraps a Platform. It keeps writes within a budget, and during an outage
// it fails requests at once, except for one probe per interval. It is safe for
// concurrent use.
type Client struct {
	backend Platform
	timeout time.Duration
	budget  *WriteBudget
	breaker *circuitBreaker
	scope   tally.Scope
}

var _ Platform = (*Client)(nil)

// NewClient returns a Client that sends its requests to backend.
func NewClient(backend Platform, cfg Config) *Client {
	cfg = cfg.withDefaults()
	scope := cfg.Metrics.Scope().SubScope("platform")
	return &Client{
		backend: backend,
		timeout: cfg.Timeout,
		budget:  NewWriteBudget(cfg.WritesPerSecond),
		breaker: newCircuitBreaker(cfg.OutageThreshold, cfg.ProbeInterval, scope.Gauge("outage")),
		scope:   scope,
	}
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
	if cfg.OutageThreshold <= 0 {
		cfg.OutageThreshold = DefaultOutageThreshold
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	return cfg
}

// Outage reports whether the platform is considered down. Requests then fail at
// once, except for one per probe interval.
func (c *Client) Outage() bool { return c.breaker.isOpen() }

// Close closes the backend's idle connections.
func (c *Client) Close() {
	if closer, ok := c.backend.(interface{ Close() }); ok {
		closer.Close()
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (row Row, err error) {
	err = c.send(ctx, "get", func(ctx context.Context) error {
		row, err = c.backend.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements Table. A page holds at most MaxScanRows.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	err = c.send(ctx, "scan", func(ctx context.Context) error {
		rows, err = c.backend.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Commit implements Table. It waits for the write budget if txn has writes.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	commit := func(ctx context.Context) error { return c.backend.Commit(ctx, txn) }
	if len(txn.Puts) == 0 {
		return c.send(ctx, "check", commit)
	}
	return c.write(ctx, "commit", len(txn.Puts), commit)
}

// PutObject implements ObjectStore. It waits for the write budget.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, "put object", 1, func(ctx context.Context) error { return c.backend.PutObject(ctx, name, data) })
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) (data []byte, err error) {
	err = c.send(ctx, "get object", func(ctx context.Context) error {
		data, err = c.backend.GetObject(ctx, name)
		return err
	})
	return data, err
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) (vms []VM, err error) {
	err = c.send(ctx, "list", func(ctx context.Context) error {
		vms, err = c.backend.VMs(ctx)
		return err
	})
	return vms, err
}

// Announce implements VMList. It bypasses the write budget, since it writes one
// row every few seconds.
func (c *Client) Announce(ctx context.Context, vm VM) error {
	return c.write(ctx, "announce", 0, func(ctx context.Context) error { return c.backend.Announce(ctx, vm) })
}

// write makes one request that writes rows, within the write budget. During an
// outage it fails without waiting for the budget.
func (c *Client) write(ctx context.Context, op string, rows int, call func(context.Context) error) error {
	if c.breaker.wouldReject(time.Now()) {
		return fmt.Errorf("%s: request not sent during an outage of the platform: %w", op, ErrUnavailable)
	}
	if err := c.budget.Wait(ctx, rows); err != nil {
		return fmt.Errorf("wait for write budget: %w: %w", ErrUnavailable, err)
	}
	err := c.send(ctx, op, call)
	c.scope.Counter("rows_written").Inc(int64(rows))
	return err
}

// send makes one request, or fails at once during an outage.
func (c *Client) send(ctx context.Context, op string, call func(context.Context) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
	}
	if !c.breaker.allow(time.Now()) {
		return fmt.Errorf("%s: request not sent during an outage of the platform: %w", op, ErrUnavailable)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := call(callCtx)
	c.observe(ctx, err)
	if err != nil {
		return fmt.Errorf("%s: %w", op, err)
	}
	return nil
}

// observe reports the result of a request to the circuit breaker. A response
// from a working platform is a success even if it is a refusal; a request that
// its caller cancelled shows nothing.
func (c *Client) observe(ctx context.Context, err error) {
	working := errors.Is(err, ErrRateLimited) || !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown)
	switch {
	case err == nil, working:
		c.breaker.recordSuccess()
	case errors.Is(ctx.Err(), context.Canceled):
		c.breaker.recordCancelled()
	default:
		c.scope.Counter("failures").Inc(1)
		c.breaker.recordFailure(time.Now())
	}
}
