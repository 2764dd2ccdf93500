package node

// existence is what an entry knows of whether there are stored jobs.
type existence struct {
	expected bool // some exist, or did
	none     bool // a leader has looked and found none
}

// sawSome notes that there are stored jobs.
func (e *existence) sawSome() { e.expected, e.none = true, false }

// sawNone notes that a leader found none.
func (e *existence) sawNone() { e.none = !e.expected }

// mustLook reports whether a new leader has to look for stored jobs before it lets
// ends of unknown ones be forgotten.
func (e *existence) mustLook() bool { return !e.none }
