package journal

import "currantstall/internal/key"

// maxRecentKeys bounds one generation of remembered keys.
const maxRecentKeys = 16_384

// recentKeys remembers which keys this process has recorded of late, and
// whether settled, in two generations of bounded size.
type recentKeys struct {
	current, previous map[key.Key]bool // true for settled
}

// add reports whether the entry says more than what was recorded before.
func (r *recentKeys) add(e Record) bool {
	settled, known := r.current[e.Key]
	if !known {
		settled, known = r.previous[e.Key]
	}
	if known && (settled || !e.final()) {
		return false
	}
	if r.current == nil || len(r.current) >= maxRecentKeys {
		r.previous, r.current = r.current, make(map[key.Key]bool)
	}
	r.current[e.Key] = e.final()
	return true
}

func (r *recentKeys) forget(e Record) { delete(r.current, e.Key) }
