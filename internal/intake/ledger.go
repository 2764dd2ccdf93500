// Package intake bounds what callers that nobody controls can take of a process: the
// memory for the heads and bodies of all their requests together, and connections.
//
// Ledger decides, from plain values and without a clock. Gate is the thin part between
// the sockets, net/http and the Ledger. The design is in docs/design/hostile-callers.md.
package intake

import "time"

// stalledAfter is how long a request has to send nothing before its memory, or an idle
// connection before its place, goes to another caller that asks when there is none.
const stalledAfter = time.Second

// scanInterval is the time between two searches for what may be evicted.
const scanInterval = 50 * time.Millisecond

// Limits bounds what the callers of one process take together.
type Limits struct {
	// Bytes bounds the memory for heads and bodies, and HeadBytes the part that heads may
	// take. The first FreeBytes of a request are not counted: they belong to the
	// connection, whose number is bounded.
	Bytes, HeadBytes int64
	// Memory is that of the machine, 0 if it is not known.
	Memory int64
	// Conns bounds the connections of all listeners.
	Conns int
	// HeadSize bounds the bytes of one head, and HeadLines its lines.
	HeadSize, HeadLines int
	// BodyIdle is how long a body may stop, and BodyRate the least bytes per second that
	// it has to arrive with after that time.
	BodyIdle time.Duration
	BodyRate int64
	// AnswerIdle is how long a caller may take nothing of its answer, and half of it at least; 0
	// means that it may for ever.
	AnswerIdle time.Duration
}

// FreeBytes is the memory of each request that is not counted. Heads and bodies of ordinary
// requests are smaller, so that they always find room.
const FreeBytes = 8 << 10

// lineCost is the memory that a line of a head takes beside its bytes, and byteCost that
// of each byte: the buffer that holds it grows by doubling.
const (
	lineCost = 150
	byteCost = 2
)

// headCost returns the memory that is counted for a head.
func headCost(size, lines int) int64 {
	return max(byteCost*int64(size)+lineCost*int64(lines)-FreeBytes, 0)
}

// Use is what memory is asked for.
type Use int

// The uses of memory.
const (
	Head Use = iota
	Body
)

// holder is a request that holds counted memory.
type holder struct {
	bytes, heads int64
	evictable    bool
	progress     time.Duration // when it sent something last
}

// Ledger decides who gets the memory for heads and bodies. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	used, heads int64
	holders     map[uint64]*holder
	nextScan    time.Duration
}

// NewLedger returns a Ledger with nothing in use.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l, holders: map[uint64]*holder{}} }

// Used returns the bytes in use.
func (l *Ledger) Used() int64 { return l.used }

// Ask asks for n more bytes for request id, which sends them now. It returns whether the
// request gets them, and the requests that lose theirs for it: those that have sent
// nothing for longest, at least for stalledAfter. Their memory counts as free at once.
func (l *Ledger) Ask(id uint64, use Use, n int64, now time.Duration) (granted bool, evicted []uint64) {
	h := l.holders[id]
	if h == nil {
		h = &holder{evictable: true}
		l.holders[id] = h
	}
	h.progress = now
	for !l.fits(use, n) {
		oldest, ok := l.longestStalled(id, use, now)
		if !ok {
			if h.bytes == 0 {
				delete(l.holders, id)
			}
			return false, evicted
		}
		l.Release(oldest)
		evicted = append(evicted, oldest)
	}
	h.bytes += n
	l.used += n
	if use == Head {
		h.heads += n
		l.heads += n
	}
	return true, evicted
}

func (l *Ledger) fits(use Use, n int64) bool {
	return l.used+n <= l.limits.Bytes && (use != Head || l.heads+n <= l.limits.HeadBytes)
}

// longestStalled returns the request but id that has held memory of which use can do with
// for longest without sending anything.
func (l *Ledger) longestStalled(id uint64, use Use, now time.Duration) (oldest uint64, ok bool) {
	if now < l.nextScan {
		return 0, false
	}
	since := now - stalledAfter
	for other, h := range l.holders {
		takes := h.bytes
		if use == Head && l.used+1 <= l.limits.Bytes {
			takes = h.heads
		}
		if other != id && h.evictable && takes > 0 && h.progress <= since && (!ok || h.progress < since) {
			oldest, ok, since = other, true, h.progress
		}
	}
	if !ok {
		l.nextScan = now + scanInterval
	}
	return oldest, ok
}

// Progress notes that request id has sent something.
func (l *Ledger) Progress(id uint64, now time.Duration) {
	if h := l.holders[id]; h != nil {
		h.progress = now
	}
}

// Keep notes that request id has arrived whole, so that it keeps its memory until Release.
func (l *Ledger) Keep(id uint64) {
	if h := l.holders[id]; h != nil {
		h.evictable = false
	}
}

// Shrink frees n bytes of what the body of request id holds.
func (l *Ledger) Shrink(id uint64, n int64) {
	if h := l.holders[id]; h != nil {
		h.bytes -= n
		l.used -= n
	}
}

// Release frees what request id holds.
func (l *Ledger) Release(id uint64) {
	if h := l.holders[id]; h != nil {
		l.used -= h.bytes
		l.heads -= h.heads
		delete(l.holders, id)
	}
}

// bodyDeadline returns when a body that began at start and has sent n bytes by now is given up.
func (l *Limits) bodyDeadline(start, now time.Duration, n int64) time.Duration {
	atRate := time.Duration(float64(n) / float64(l.BodyRate) * float64(time.Second))
	return min(now, start+atRate) + l.BodyIdle
}
