// Package taskserver is the common part of the runner and worker stand-ins: a
// small target that serves the target protocol over HTTP, counts every start,
// and injects the faults that the dispatcher has to tolerate. It is for tests,
// the demo and measurements.
package taskserver

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantstall/internal/platform"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

const (
	defaultListen      = "127.0.0.1:0"
	defaultServiceTime = 50 * time.Millisecond
	announceInterval   = 5 * time.Second
	announceRetryDelay = 200 * time.Millisecond
	sweepInterval      = 10 * time.Second
	maxBodyBytes       = 32 << 20
	readHeaderTimeout  = 10 * time.Second
)

// Config describes a target.
type Config struct {
	// VM is the target's line in the platform's VM list. New fills in Addr.
	VM platform.VM
	// Listen is host:port, by default a free port of 127.0.0.1.
	Listen string
	// QueueCapacity is the number of tasks that may wait for a slot.
	QueueCapacity int
	// ServiceTimes holds the median run time of each kind, for tasks that have
	// none in their body. Spread is the standard deviation of its logarithm.
	ServiceTimes map[string]time.Duration
	Spread       float64
	Seed         uint64
	// UsageLag is the age of the data in a usage report.
	UsageLag time.Duration
	// List receives the announcements of the target, if it is set.
	List platform.VMList
	Log  *slog.Logger
}

// Server is a running target. It is safe for concurrent use.
type Server struct {
	cfg         Config
	incarnation string
	startTime   time.Time
	listener    *faultListener
	http        *http.Server
	stop        context.CancelFunc
	wg          sync.WaitGroup
	announceNow chan struct{} // signals that the target's line has changed

	mu            sync.Mutex
	exec          executor
	timer         *time.Timer
	records       map[TaskID]*record
	starts        map[TaskID][]time.Time
	recentlyEnded []*record // ended within the usage lag
	lastDone      *record
	faults        Faults
	rng           *rand.Rand
	closed        bool
}

// New starts a target. Close or Kill stops it.
func New(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	cfg.VM.Addr = l.Addr().String()
	s := &Server{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		startTime:   time.Now(),
		listener:    newFaultListener(l, cfg.VM.MaxConn),
		exec:        executor{slots: cfg.VM.Slots, size: cfg.VM.Size, queueCapacity: cfg.QueueCapacity},
		records:     make(map[TaskID]*record),
		starts:      make(map[TaskID][]time.Time),
		announceNow: make(chan struct{}, 1),
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	s.timer = time.AfterFunc(math.MaxInt64, s.tick)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.wg.Go(func() { _ = s.http.Serve(s.listener) })
	s.wg.Go(func() { s.maintain(ctx) })
	return s, nil
}

// Addr returns host:port of the target.
func (s *Server) Addr() string { return s.cfg.VM.Addr }

// VM returns the target's line in the platform's VM list.
func (s *Server) VM() platform.VM {
	vm := s.cfg.VM
	s.mu.Lock()
	vm.Leaving = s.faults.Leaving
	s.mu.Unlock()
	return vm
}

// Close stops the target. Running tasks are dropped; responses in flight have a
// second to complete.
func (s *Server) Close() {
	s.beginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	s.wg.Wait()
}

// Kill stops the target abruptly, as if its VM had died.
func (s *Server) Kill() {
	s.beginShutdown()
	_ = s.listener.Listener.Close()
	s.listener.resetAll()
	_ = s.http.Close()
	s.wg.Wait()
}

// beginShutdown stops the executor and the announcements.
func (s *Server) beginShutdown() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	if f.Silence > 0 {
		s.listener.silenceShare(f.Silence)
	}
	s.mu.Lock()
	s.exec.advance(time.Now())
	s.exec.slowdown = f.Straggle
	leavingChanged := f.Leaving != s.faults.Leaving
	s.faults = f
	s.resetTimer()
	s.mu.Unlock()
	if leavingChanged {
		s.requestAnnounce()
	}
	if f.Dead {
		go s.Kill()
	}
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Starts returns the number of starts of each task on this target.
func (s *Server) Starts() map[TaskID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[TaskID]int, len(s.starts))
	for id, times := range s.starts {
		m[id] = len(times)
	}
	return m
}

// StartTimes returns the times of the starts of each task on this target.
func (s *Server) StartTimes() map[TaskID][]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[TaskID][]time.Time, len(s.starts))
	for id, times := range s.starts {
		m[id] = slices.Clone(times)
	}
	return m
}

// Running returns the number of running tasks.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.exec.tasks)
}

// Conns returns the numbers of open, accepted and rejected connections.
func (s *Server) Conns() (open, accepted, rejected int) { return s.listener.connCounts() }

// clock returns the target's clock, which counts from the start of this
// incarnation.
func (s *Server) clock(now time.Time) target.Clock {
	return target.Clock{Incarnation: s.incarnation, At: now.Sub(s.startTime)}
}

// admit starts a task, queues it or refuses it.
func (s *Server) admit(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if reason := s.startRefusal(r, now); reason != "" {
		r.refuse(reason, now)
		return
	}
	r.serviceTime = s.drawServiceTime(r)
	switch {
	case s.exec.hasFreeSlot():
		s.startTask(r, now)
	case len(s.exec.queue) < s.exec.queueCapacity:
		r.state = queued
		s.records[r.id] = r
		s.exec.queue = append(s.exec.queue, r)
	default:
		r.refuse(target.RefusedBusy, now)
	}
	s.resetTimer()
}

// startRefusal returns the reason why a task may not start now, or "" if it
// may.
func (s *Server) startRefusal(r *record, now time.Time) target.Refusal {
	if s.faults.Leaving {
		return target.RefusedLeaving
	}
	if known := s.records[r.id]; known != nil && known.state == fenced {
		return target.RefusedFenced
	}
	if r.notAfter == nil {
		return ""
	}
	c := s.clock(now)
	switch {
	case r.notAfter.Incarnation != c.Incarnation:
		return target.RefusedOtherIncarnation
	case c.At > r.notAfter.At:
		return target.RefusedLeaseExpired
	}
	return ""
}

func (s *Server) startTask(r *record, now time.Time) {
	s.records[r.id] = r
	s.starts[r.id] = append(s.starts[r.id], now)
	s.exec.start(r, now)
}

// drawServiceTime returns the run time of a task on an idle target: the one in
// its body, or one drawn for its kind.
func (s *Server) drawServiceTime(r *record) time.Duration {
	if r.spec.ServiceMS > 0 {
		return time.Duration(r.spec.ServiceMS * float64(time.Millisecond))
	}
	median := s.cfg.ServiceTimes[r.kind]
	if median <= 0 {
		median = defaultServiceTime
	}
	return time.Duration(float64(median) * math.Exp(s.rng.NormFloat64()*s.cfg.Spread))
}

// tick ends the tasks whose work is done and starts queued ones.
func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := time.Now()
	for r := s.exec.popFinished(now); r != nil; r = s.exec.popFinished(now) {
		s.finishTask(r, now)
	}
	s.startQueued(now)
	s.resetTimer()
}

func (s *Server) finishTask(r *record, now time.Time) {
	if r.spec.Fail || s.faults.FailAll {
		r.finish(verdict.Failed, []byte("failed as told"), now)
	} else {
		r.finish(verdict.Completed, r.result(s.cfg.VM.Name), now)
	}
	s.recentlyEnded = append(s.recentlyEnded, r)
}

// startQueued starts queued tasks while slots are free.
func (s *Server) startQueued(now time.Time) {
	for len(s.exec.queue) > 0 && s.exec.hasFreeSlot() {
		r := s.exec.queue[0]
		s.exec.queue = s.exec.queue[1:]
		delete(s.records, r.id)
		if reason := s.startRefusal(r, now); reason != "" {
			r.refuse(reason, now)
			continue
		}
		s.startTask(r, now)
	}
}

// resetTimer sets the timer to the end of the task that finishes first.
func (s *Server) resetTimer() {
	if s.closed {
		return
	}
	if d, ok := s.exec.timeToFirstFinish(); ok {
		s.timer.Reset(d)
	}
}

// maintain announces the target and removes expired records until ctx ends.
func (s *Server) maintain(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	announce := time.NewTimer(0)
	defer announce.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			s.removeExpiredRecords(time.Now())
		case <-s.announceNow:
			announce.Reset(s.announce(ctx))
		case <-announce.C:
			announce.Reset(s.announce(ctx))
		}
	}
}

// announce announces the target to the platform's VM list and returns the delay
// until the next announcement.
func (s *Server) announce(ctx context.Context) time.Duration {
	if s.cfg.List == nil {
		return announceInterval
	}
	if err := s.cfg.List.Announce(ctx, s.VM()); err != nil {
		s.cfg.Log.Warn("announce", "vm", s.cfg.VM.Name, "err", err)
		return announceRetryDelay
	}
	return announceInterval
}

// requestAnnounce makes maintain announce the target at once.
func (s *Server) requestAnnounce() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// Leave marks the target as leaving, in its responses and in the platform's VM
// list.
func (s *Server) Leave() {
	f := s.Faults()
	f.Leaving, f.Silence = true, 0
	s.SetFaults(f)
}

// removeExpiredRecords removes the records of tasks that ended longer ago than
// target.RecordRetention.
func (s *Server) removeExpiredRecords(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if !r.ended.IsZero() && now.Sub(r.ended) > target.RecordRetention {
			delete(s.records, id)
		}
	}
	s.trimRecentlyEnded(now)
}

func (s *Server) trimRecentlyEnded(now time.Time) {
	kept := s.recentlyEnded[:0]
	for _, r := range s.recentlyEnded {
		if now.Sub(r.ended) <= s.cfg.UsageLag {
			kept = append(kept, r)
		}
	}
	clear(s.recentlyEnded[len(kept):])
	s.recentlyEnded = kept
}
