package target

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Defaults and limits of a UsagePoller.
const (
	DefaultUsageInterval = 5 * time.Second
	usageTimeout         = time.Second
	maxUsageRequests     = 4
)

// UsagePoller requests usage reports from owned targets at a long interval.
type UsagePoller struct {
	Pool     *Pool
	Interval time.Duration // 0 means DefaultUsageInterval
	// Owned returns the addresses of the targets to poll.
	Owned func() []string
	// OnUsage receives each report. It is called from several goroutines.
	OnUsage func(addr string, u Usage)
}

// Run polls the owned targets at each interval until ctx ends.
func (u *UsagePoller) Run(ctx context.Context) {
	interval := u.Interval
	if interval <= 0 {
		interval = DefaultUsageInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.pollAll(ctx)
		}
	}
}

// pollAll polls all owned targets, maxUsageRequests at a time. A target that does
// not respond is polled again at the next interval.
func (u *UsagePoller) pollAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxUsageRequests)
	for _, addr := range u.Owned() {
		g.Go(func() error {
			u.poll(ctx, addr)
			return nil
		})
	}
	_ = g.Wait()
}

func (u *UsagePoller) poll(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	if usage, err := u.Pool.Usage(ctx, addr); err == nil {
		u.OnUsage(addr, usage)
	}
}
