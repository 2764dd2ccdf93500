package node

// existence is what an entry knows of whether there are stored jobs.
type existence struct {
	expected bool // some exist, or did
	none     bool // a leader has looked and found none
}

// foundJobs notes that there are stored jobs.
func (e *existence) foundJobs() { e.expected, e.none = true, false }

// foundNone notes that a leader found none.
func (e *existence) foundNone() { e.none = !e.expected }

// mustScan reports whether a new leader has to look for stored jobs before it lets
// ends of unknown ones be forgotten.
func (e *existence) mustScan() bool { return !e.none }
