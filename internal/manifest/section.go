package manifest

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// Names of sections: "limits", or one of these prefixes and a kind's or team's
// name.
const (
	kindPrefix    = "kind/"
	teamPrefix    = "team/"
	limitsSection = "limits"
)

// Section is a part of a manifest that is stored and sent on its own: one
// kind, one team, or the limits. With none of the three set it stands for the
// removal of the section.
type Section struct {
	Name   string  `json:"name" cbor:"1,keyasint"`
	Kind   *Kind   `json:"kind,omitempty" cbor:"2,keyasint,omitempty"`
	Team   *Team   `json:"team,omitempty" cbor:"3,keyasint,omitempty"`
	Limits *Limits `json:"limits,omitempty" cbor:"4,keyasint,omitempty"`
}

// isRemoval reports whether the section is no longer in the manifest.
func (s *Section) isRemoval() bool { return s.Kind == nil && s.Team == nil && s.Limits == nil }

func kindSection(k Kind) Section { return Section{Name: kindPrefix + k.Name, Kind: &k} }
func teamSection(t Team) Section { return Section{Name: teamPrefix + t.Name, Team: &t} }

// withSections returns a copy at the given version withSections the sections replaced. The
// receiver, which may be nil, stays as it is; the copy shares withSections it the lists
// that did not change.
func (m *Manifest) withSections(version uint64, sections []Section) *Manifest {
	next := &Manifest{Version: version}
	if m != nil {
		next.Limits, next.Kinds, next.Teams = m.Limits, m.Kinds, m.Teams
	}
	kinds := map[string]*Kind{}
	teams := map[string]*Team{}
	for _, s := range sections {
		switch {
		case strings.HasPrefix(s.Name, kindPrefix):
			kinds[strings.TrimPrefix(s.Name, kindPrefix)] = s.Kind
		case strings.HasPrefix(s.Name, teamPrefix):
			teams[strings.TrimPrefix(s.Name, teamPrefix)] = s.Team
		case s.Limits != nil:
			next.Limits = *s.Limits
		}
	}
	next.Kinds = replaceByName(next.Kinds, kinds, func(k *Kind) string { return k.Name })
	next.Teams = replaceByName(next.Teams, teams, func(t *Team) string { return t.Name })
	return next
}

// replaceByName returns a list, sorted by name like items, with each changed item in
// the place of the one with its name; a nil item removes its name. It copies
// the runs between the changes, so that few changes cost little more than the
// copy.
func replaceByName[T any](items []T, changed map[string]*T, name func(*T) string) []T {
	if len(changed) == 0 {
		return items
	}
	out := make([]T, 0, len(items)+len(changed))
	for _, n := range slices.Sorted(maps.Keys(changed)) {
		run := sort.Search(len(items), func(i int) bool { return name(&items[i]) >= n })
		out = append(out, items[:run]...)
		items = items[run:]
		if len(items) > 0 && name(&items[0]) == n {
			items = items[1:]
		}
		if item := changed[n]; item != nil {
			out = append(out, *item)
		}
	}
	return append(out, items...)
}

// changedSections returns the sections by which next differs from m, which
// may be nil, in order of name.
func changedSections(m, next *Manifest) []Section {
	if m == nil {
		m = &Manifest{}
	}
	var out []Section
	out = appendChanged(out, m.Kinds, next.Kinds, kindPrefix, func(k *Kind) string { return k.Name }, kindSection)
	if m.Limits != next.Limits {
		limits := next.Limits
		out = append(out, Section{Name: limitsSection, Limits: &limits})
	}
	return appendChanged(out, m.Teams, next.Teams, teamPrefix, func(t *Team) string { return t.Name }, teamSection)
}

// appendChanged merges two lists that are sorted by name.
func appendChanged[T comparable](out []Section, old, next []T, prefix string, name func(*T) string, section func(T) Section) []Section {
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(old) > 0 && name(&old[0]) < name(&next[0]):
			out = append(out, Section{Name: prefix + name(&old[0])})
			old = old[1:]
		case len(old) == 0 || name(&next[0]) < name(&old[0]):
			out = append(out, section(next[0]))
			next = next[1:]
		default:
			if old[0] != next[0] {
				out = append(out, section(next[0]))
			}
			old, next = old[1:], next[1:]
		}
	}
	return out
}
