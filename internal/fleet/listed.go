package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"currantstall/internal/key"
)

// Limits of the targets and entries in the lists of the platform's store, whose rows other
// writers may have made, and in those that peers pass on.
const (
	MaxTargetIDBytes = 200
	MaxNameBytes     = 256 // of a service, a data centre and a label
	MaxHostBytes     = 253
	MaxLabels        = 64
	// MaxTimeMS is the last time of the year 9999, Unix time in ms. Times and intervals
	// above it are not valid.
	MaxTimeMS = 253_402_300_799_999
)

var errOutOfRange = errors.New("a number is negative or too large")

// Validate returns an error for a target that can't be used.
func (t *Target) Validate() error {
	if !validTargetID(t.ID) {
		return fmt.Errorf("target %.40q: the ID is not of 1 to %d printable ASCII characters", t.ID, MaxTargetIDBytes)
	}
	if t.Service == "" || len(t.Service) > MaxNameBytes || len(t.DC) > MaxNameBytes {
		return fmt.Errorf("target %.40q: service %.40q, data centre %.40q: missing or longer than %d bytes", t.ID, t.Service, t.DC, MaxNameBytes)
	}
	if err := ValidateAddr(t.Addr); err != nil {
		return fmt.Errorf("target %.40q: %w", t.ID, err)
	}
	if t.Incarnation < 0 || t.Incarnation > MaxTimeMS || !t.Capacity.Valid() {
		return fmt.Errorf("target %.40q: incarnation %d, capacity %v: %w", t.ID, t.Incarnation, t.Capacity, errOutOfRange)
	}
	if len(t.Labels) > MaxLabels || slices.ContainsFunc(t.Labels, func(l string) bool { return len(l) > MaxNameBytes }) {
		return fmt.Errorf("target %.40q: more than %d labels, or one of more than %d bytes", t.ID, MaxLabels, MaxNameBytes)
	}
	return nil
}

// Usable reports whether the target is valid and can run tasks.
func (t *Target) Usable() bool { return t.Capacity.MilliCPU > 0 && t.Validate() == nil }

// Validate returns an error for an entry that peers can't link to.
func (m *Member) Validate() error {
	if !key.ValidName(m.Name) || !key.ValidName(m.DC) {
		return fmt.Errorf("entry %.40q: data centre %.40q: not valid as names", m.Name, m.DC)
	}
	if err := ValidateAddr(m.Addr); err != nil {
		return fmt.Errorf("entry %s: %w", m.Name, err)
	}
	return nil
}

// ValidateAddr returns an error unless addr is a host and a port from 1 to 65535.
func ValidateAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || !validHost(host) {
		return fmt.Errorf("addr %.60q: want host:port", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("addr %.60q: want a port from 1 to 65535", addr)
	}
	return nil
}

// validHost reports whether s is an IP address or can be a host name.
func validHost(s string) bool {
	if s == "" || len(s) > MaxHostBytes {
		return false
	}
	if _, err := netip.ParseAddr(s); err == nil {
		return true
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// validTargetID reports whether s may identify a target. It is sent in HTTP headers.
func validTargetID(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= MaxTargetIDBytes
}
