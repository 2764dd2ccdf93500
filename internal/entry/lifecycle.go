package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"currantstall/internal/statechart"
)

// lifecycleInterval is the time between two checks whether the entry has joined.
const lifecycleInterval = 50 * time.Millisecond

// lifecycle holds the state of the entry in the state chart process.
type lifecycle struct {
	log *slog.Logger

	mu      sync.Mutex
	state   statechart.ProcessState
	joinErr error // why the entry has not joined; nil if it has
}

func newLifecycle(log *slog.Logger) *lifecycle {
	return &lifecycle{log: log, state: statechart.ProcessStarting}
}

// step applies an event to the chart. The caller holds the lock.
func (l *lifecycle) step(e statechart.ProcessEvent) {
	next, _, ok := statechart.Process.Step(l.state, e)
	if !ok || next == l.state {
		return
	}
	l.log.Info("entry changed state", "from", l.state.String(), "to", next.String())
	l.state = next
}

// watch returns a loop that calls joined at each lifecycleInterval and applies
// the result, until ctx ends.
func (l *lifecycle) watch(joined func() error) func(context.Context) {
	return func(ctx context.Context) {
		t := time.NewTicker(lifecycleInterval)
		defer t.Stop()
		for {
			l.setJoinError(joined())
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}
}

// setJoinError records why the entry has not joined, or with nil that it has, and
// applies the matching events.
func (l *lifecycle) setJoinError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joinErr = err
	if err != nil {
		l.step(statechart.ProcessOnRemoved)
		return
	}
	l.step(statechart.ProcessOnManifestHeld)
	l.step(statechart.ProcessOnJoined)
}

// drain begins the planned stop.
func (l *lifecycle) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(statechart.ProcessOnStop)
}

// stopped ends the planned stop.
func (l *lifecycle) stopped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(statechart.ProcessOnDrained)
}

// stopping reports whether the planned stop has begun.
func (l *lifecycle) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == statechart.ProcessDraining || l.state == statechart.ProcessStopped
}

// ready returns nil if the load balancer may send work to this entry, else the
// reason why not.
func (l *lifecycle) ready() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.state == statechart.ProcessServing:
		return nil
	case l.state == statechart.ProcessDraining || l.state == statechart.ProcessStopped:
		return errors.New("draining")
	case l.joinErr != nil:
		return l.joinErr
	}
	return errors.New("starting")
}

// stateName returns the name of the state in the chart.
func (l *lifecycle) stateName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.String()
}
