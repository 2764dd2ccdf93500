package ledger

import (
	"time"

	"github.com/google/uuid"
)

// timerKind selects the action of a timer.
type timerKind uint8

const (
	claimRetry timerKind = iota + 1
	claimTimeout
	outcomeRetry
	releaseRetry
	markExpiry
	probeRetry
	probeTimeout
	handoverRetry
)

// timer is due at a time. It refers to its object by ID and serial, since the
// object may no longer exist by then.
type timer struct {
	at     time.Time
	kind   timerKind
	id     uuid.UUID
	serial uint64
}

// timers has one queue for each delay in use. The delays are few and constant,
// so each queue is ordered by time, and a timer costs O(1).
type timers struct{ queues []*delayQueue }

type delayQueue struct {
	delay time.Duration
	items fifo[timer]
}

func (t *timers) add(now time.Time, delay time.Duration, x timer) {
	x.at = now.Add(delay)
	for _, q := range t.queues {
		if q.delay == delay {
			q.items.push(x)
			return
		}
	}
	q := &delayQueue{delay: delay}
	q.items.push(x)
	t.queues = append(t.queues, q)
}

// popDue removes and returns a timer that is due.
func (t *timers) popDue(now time.Time) (timer, bool) {
	for _, q := range t.queues {
		x, ok := q.items.front()
		if ok && !now.Before(x.at) {
			q.items.pop()
			return x, true
		}
	}
	return timer{}, false
}

// fifo is a queue that frees the memory of removed items.
type fifo[T any] struct {
	items []T
	head  int
}

const fifoCompactAt = 1024 // items

func (f *fifo[T]) push(x T) { f.items = append(f.items, x) }

func (f *fifo[T]) front() (x T, ok bool) {
	if f.head == len(f.items) {
		return x, false
	}
	return f.items[f.head], true
}

func (f *fifo[T]) pop() {
	f.head++
	if f.head == len(f.items) {
		f.items, f.head = f.items[:0], 0
	}
	if f.head >= fifoCompactAt && f.head*2 >= len(f.items) {
		f.items = append([]T(nil), f.items[f.head:]...)
		f.head = 0
	}
}
