// Package evacuation decides which data centres take no new tasks because operators have them
// evacuated. The truth is in the platform's store; entries also tell each other what they know, so
// that one that can't read the store follows too. It is a function of the state, the time and the
// event: it holds no clock, socket or goroutine.
package evacuation

import (
	"errors"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// MaxDCs is the number of data centres in a set, and MaxNameBytes the length of a name.
	MaxDCs       = 256
	MaxNameBytes = 200
	// FinishFor is how long after an entry has learned of an evacuation the remaining tasks of jobs
	// that have begun there may still start, where no other target of their pool takes them.
	FinishFor = time.Second
	// ReadCountsFor is how long after a read of the store an entry goes by it alone: a read waits up to 2 s for a change, so
	// one that takes longer has failed.
	ReadCountsFor = 2500 * time.Millisecond
)

// errInvalid marks names and sets that are not used.
var errInvalid = errors.New("invalid evacuation")

// CheckName returns an error for what can't be the name of a data centre.
func CheckName(dc string) error {
	if dc == "" || len(dc) > MaxNameBytes || !utf8.ValidString(dc) || slices.ContainsFunc([]rune(dc), func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }) {
		return fmt.Errorf("data centre %.40q: want 1 to %d bytes of text without spaces, control characters and slashes: %w", dc, MaxNameBytes, errInvalid)
	}
	return nil
}

// Set is the set of evacuated data centres as of a version of the store. An empty set was read as
// empty; what was never read is no Set.
type Set struct {
	Version uint64   `cbor:"1,keyasint"`
	DCs     []string `cbor:"2,keyasint,omitempty"`
}

// Validate returns an error for a set that an entry can't have read.
func (s *Set) Validate() error {
	if len(s.DCs) > MaxDCs {
		return fmt.Errorf("%d data centres, want at most %d: %w", len(s.DCs), MaxDCs, errInvalid)
	}
	for _, dc := range s.DCs {
		if err := CheckName(dc); err != nil {
			return err
		}
	}
	return nil
}

// Phase is how far a data centre is evacuated.
type Phase uint8

const (
	// None: it is not evacuated.
	None Phase = iota
	// Finishing: it takes no new jobs, only the remaining tasks of those that have begun there.
	Finishing
	// Closed: it takes no tasks.
	Closed
)

// State is what an entry knows of the evacuations. The zero State knows nothing.
type State struct {
	known   bool
	version uint64
	// readAt is when this entry last read the store, if it has.
	read   bool
	readAt time.Duration
	closes map[string]time.Duration // by evacuated data centre: the end of Finishing
}

// Known reports whether a set was read, by this entry or by a peer.
func (s *State) Known() bool { return s.known }

// Change is what a newer set has changed.
type Change struct{ Begun, Ended []string }

// Empty reports whether nothing has changed.
func (c *Change) Empty() bool { return len(c.Begun)+len(c.Ended) == 0 }

// Read takes over a set that this entry has read from the store, also one with a lower version than a peer has told, or than
// was read before: a peer may be wrong, and the store may have been restored to an older state.
func (s *State) Read(now time.Duration, set Set) Change {
	s.read, s.readAt = true, now
	return s.replace(now, set)
}

// Merge takes over a newer set that a peer tells, unless this entry has read the store lately.
func (s *State) Merge(now time.Duration, set Set) Change {
	if s.known && set.Version <= s.version || s.read && now < s.readAt+ReadCountsFor {
		return Change{}
	}
	return s.replace(now, set)
}

// replace puts a set in force. An evacuation in the first set that an entry learns of may have begun
// long ago, so it has no time left to finish.
func (s *State) replace(now time.Duration, set Set) Change {
	var c Change
	closes := make(map[string]time.Duration, len(set.DCs))
	for _, dc := range set.DCs {
		at, before := s.closes[dc]
		if !before && !slices.Contains(c.Begun, dc) {
			c.Begun = append(c.Begun, dc)
			if at = now; s.known {
				at = now + FinishFor
			}
		}
		if _, twice := closes[dc]; !twice {
			closes[dc] = at
		}
	}
	for dc := range s.closes {
		if _, still := closes[dc]; !still {
			c.Ended = append(c.Ended, dc)
		}
	}
	slices.Sort(c.Begun)
	slices.Sort(c.Ended)
	s.known, s.version, s.closes = true, set.Version, closes
	return c
}

// Set returns the set in force, nil if none is known.
func (s *State) Set() *Set {
	if !s.known {
		return nil
	}
	return &Set{Version: s.version, DCs: s.DCs()}
}

// DCs returns the evacuated data centres, sorted.
func (s *State) DCs() []string {
	if len(s.closes) == 0 {
		return nil
	}
	dcs := make([]string, 0, len(s.closes))
	for dc := range s.closes {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	return dcs
}

// Phase returns how far a data centre is evacuated.
func (s *State) Phase(now time.Duration, dc string) Phase {
	at, evacuated := s.closes[dc]
	switch {
	case !evacuated:
		return None
	case now < at:
		return Finishing
	}
	return Closed
}

// NextAt returns when the next data centre closes, false if none is finishing.
func (s *State) NextAt(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, at := range s.closes {
		if at > now && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}
