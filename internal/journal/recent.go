package journal

import "currantstall/internal/key"

// maxRecentKeys bounds the keys of one generation of recentKeys.
const maxRecentKeys = 16_384

// recentKeys holds the keys that this process recorded recently, and whether
// their outcome was final, in two generations of bounded size.
type recentKeys struct {
	current, previous map[key.Key]bool // value: outcome is final
}

// add notes a record, and reports false if it adds nothing to an earlier record
// of its key.
func (r *recentKeys) add(rec Record) bool {
	final, known := r.current[rec.Key]
	if !known {
		final, known = r.previous[rec.Key]
	}
	if known && (final || !rec.final()) {
		return false
	}
	if r.current == nil || len(r.current) >= maxRecentKeys {
		r.previous, r.current = r.current, make(map[key.Key]bool)
	}
	r.current[rec.Key] = rec.final()
	return true
}

func (r *recentKeys) forget(rec Record) { delete(r.current, rec.Key) }
