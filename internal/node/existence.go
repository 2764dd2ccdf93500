package node

// existence is an entry's knowledge of whether there are stored jobs.
type existence struct {
	expected bool // stored jobs exist, or did at some time
	none     bool // a leader has scanned the store and found none
}

// foundJobs records that there are stored jobs.
func (e *existence) foundJobs() { e.expected, e.none = true, false }

// foundNone records that a leader found none. It has no effect if there were any
// before: stored jobs come and go.
func (e *existence) foundNone() { e.none = !e.expected }

// mustScan reports whether a new leader has to scan the store for jobs before it
// may acknowledge ended runs of jobs that it does not know.
func (e *existence) mustScan() bool { return !e.none }
