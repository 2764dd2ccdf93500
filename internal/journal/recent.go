package journal

import "currantstall/internal/key"

// maxRecent bounds one generation of remembered keys.
const maxRecent = 16_384

// recentKeys remembers which keys this process has recorded of late, and
// whether settled, in two generations of bounded size.
type recentKeys struct {
	young, old map[key.Key]bool // true for settled
}

// add reports whether the entry says more than what was recorded before.
func (r *recentKeys) add(e Entry) bool {
	settled, known := r.young[e.Key]
	if !known {
		settled, known = r.old[e.Key]
	}
	if known && (settled || !e.settled()) {
		return false
	}
	if r.young == nil || len(r.young) >= maxRecent {
		r.old, r.young = r.young, make(map[key.Key]bool)
	}
	r.young[e.Key] = e.settled()
	return true
}

func (r *recentKeys) forget(e Entry) { delete(r.young, e.Key) }
