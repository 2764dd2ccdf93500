package dispatch

import (
	"sync"
	"time"
)

// silenceWatch calls probe once an attempt has had no answer for a while. The time
// counts from begin.
type silenceWatch struct {
	after time.Duration
	probe func()

	mu      sync.Mutex
	timer   *time.Timer // nil before begin
	ended   bool
	probing sync.WaitGroup
}

// begin starts the watch. Further calls have no effect.
func (s *silenceWatch) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil || s.ended {
		return
	}
	s.probing.Add(1)
	s.timer = time.AfterFunc(s.after, func() {
		defer s.probing.Done()
		s.probe()
	})
}

// end ends the watch and waits for a probe in progress.
func (s *silenceWatch) end() {
	s.mu.Lock()
	s.ended = true
	timer := s.timer
	s.mu.Unlock()
	if timer != nil && timer.Stop() {
		s.probing.Done()
	}
	s.probing.Wait()
}
