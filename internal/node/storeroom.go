package node

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
)

// countedAfter is how long after its acceptance the owner of the stored jobs is taken to count a job
// in the room that it tells.
const countedAfter = time.Second

// storeRoom limits the stored jobs that an entry accepts to those that their owner has memory for. An
// accepted job can't be refused any more, so the entries share what the owner has last told. It is safe for
// concurrent use.
type storeRoom struct {
	mu       sync.Mutex
	room     *pool.JobSize // of the owner, nil if it is not bounded
	entries  int64         // that share it
	accepted []acceptedSize
	sum      pool.JobSize  // of accepted
	lookups  chan struct{} // has a token for each lookup of a rejected job
}

// acceptedSize is the size of a job that this entry has accepted, which the owner may not count yet.
type acceptedSize struct {
	at   time.Duration
	size pool.JobSize
}

// maxLookups limits the lookups of rejected jobs at a time. Their writes to the store share transactions.
const maxLookups = 64

// newStoreRoom returns the room of an owner without jobs.
func newStoreRoom(r *pool.JobSize) *storeRoom {
	return &storeRoom{room: r, entries: 1, lookups: make(chan struct{}, maxLookups)}
}

// sharedBy sets the number of entries that share the room.
func (s *storeRoom) sharedBy(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = int64(entries)
}

// told sets the room that the owner has told.
func (s *storeRoom) told(now time.Duration, room *pool.JobSize) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = room
	for len(s.accepted) > 0 && s.accepted[0].at+countedAfter <= now {
		s.sum = s.sum.Minus(s.accepted[0].size)
		s.accepted = s.accepted[1:]
	}
}

// take takes room for a job, and reports whether there is enough. A single large job may take all of it.
func (s *storeRoom) take(now time.Duration, size pool.JobSize) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.room == nil {
		return true
	}
	sum := s.sum.Plus(size)
	wanted, share := sum, pool.JobSize{Ordinary: s.room.Ordinary / s.entries, Large: s.room.Large / s.entries}
	switch {
	case size.Large == 0:
		wanted.Large = 0 // an ordinary job needs none of the room for large ones
	case s.sum.Large == 0:
		share.Large = s.room.Large
	}
	if !wanted.Fits(share) {
		return false
	}
	s.sum = sum
	s.accepted = append(s.accepted, acceptedSize{now, size})
	return true
}

// rejectForRoom returns the outcome of a job for which there is no room. It is NotRun only if no earlier
// submission of the job was accepted, or can be any more.
func (n *Node) rejectForRoom(ctx context.Context, id string) fleet.Outcome {
	rejected := fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.MemoryFull, RetryAfter: time.Second}
	ctx, cancel := context.WithTimeout(ctx, storeViaPeerTimeout)
	defer cancel()
	select {
	case n.stored.room.lookups <- struct{}{}:
		defer func() { <-n.stored.room.lookups }()
	case <-ctx.Done():
		rejected.Verdict = verdict.MayHaveRun
		return rejected
	}
	if reply, ok := n.queryLeader(ctx, jobQueryBody{Job: id}, queryTimeout); ok && reply.Known {
		return fleet.Outcome{Verdict: verdict.Completed}
	}
	switch stored, err := n.rejectEarlier(ctx, id); {
	case err != nil:
		rejected.Verdict = verdict.MayHaveRun
	case stored:
		return fleet.Outcome{Verdict: verdict.Completed}
	}
	return rejected
}
