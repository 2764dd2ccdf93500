package admission

import "time"

// KindStats is a snapshot of the state of one kind.
type KindStats struct {
	Kind       string
	Running    int
	Queued     int
	Guaranteed float64       // slots
	Free       int           // slots that the kind could use now
	Wait       time.Duration // estimate for one more unit of a team with an empty queue
	Service    time.Duration // median run time
}

// Stats is a snapshot of the state of a queue.
type Stats struct {
	Capacity float64 // slots
	Running  int
	Queued   int
	Kinds    []KindStats
}

// Stats returns a snapshot for the metrics and for the load messages to peers.
func (q *Queue) Stats() Stats {
	s := Stats{Capacity: q.capacity, Running: q.running, Queued: q.queued, Kinds: make([]KindStats, len(q.kinds))}
	for i, k := range q.kinds {
		s.Kinds[i] = KindStats{
			Kind:       k.name,
			Running:    k.running,
			Queued:     k.queued,
			Guaranteed: k.guaranteed(q.capacity),
			Free:       int(q.startableSlots(k)),
			Wait:       q.Wait(k.name),
			Service:    k.service.Median(),
		}
	}
	return s
}

// Wait estimates the queueing time of one more unit of a kind, for a team with
// an empty queue. It is 0 for an unknown kind.
func (q *Queue) Wait(name string) time.Duration {
	k := q.byKind[name]
	if k == nil {
		return 0
	}
	return q.estimateWait(k, "", 1, 0, 1)
}

// Kinds returns the names of all kinds, including removed kinds that Configure
// has not deleted yet.
func (q *Queue) Kinds() []string {
	names := make([]string, len(q.kinds))
	for i, k := range q.kinds {
		names[i] = k.name
	}
	return names
}

// Len returns the number of queued units and the number of running units.
func (q *Queue) Len() (queued, running int) { return q.queued, q.running }

// HedgeDelay returns the run time after which a unit of the kind is worth
// hedging, or 0 for an unknown kind.
func (q *Queue) HedgeDelay(name string) time.Duration {
	k := q.byKind[name]
	if k == nil {
		return 0
	}
	return k.service.HedgeDelay()
}
