package manifest

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// Names of sections: limitsSection, or one of these prefixes followed by the name
// of a kind or team.
const (
	kindPrefix    = "kind/"
	teamPrefix    = "team/"
	limitsSection = "limits"
)

// Section is the part of a manifest that is stored and sent on its own: one kind,
// one team, or the limits. A Section with none of the three set is the removal of
// the section.
type Section struct {
	Name   string  `json:"name" cbor:"1,keyasint"`
	Kind   *Kind   `json:"kind,omitempty" cbor:"2,keyasint,omitempty"`
	Team   *Team   `json:"team,omitempty" cbor:"3,keyasint,omitempty"`
	Limits *Limits `json:"limits,omitempty" cbor:"4,keyasint,omitempty"`
}

// isRemoval reports whether s is the removal of a section.
func (s *Section) isRemoval() bool { return s.Kind == nil && s.Team == nil && s.Limits == nil }

func kindSection(k Kind) Section { return Section{Name: kindPrefix + k.Name, Kind: &k} }
func teamSection(t Team) Section { return Section{Name: teamPrefix + t.Name, Team: &t} }

// withSections returns a copy at the given version with the given sections
// replaced. It does not change the receiver, which may be nil; the copy shares the
// unchanged lists with it.
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

// replaceByName returns a copy of items, a list sorted by name, in which each
// changed item replaces the one of its name or is inserted. A nil item removes the
// one of its name. It copies whole runs between the changes, so that few changes
// cost little more than the copy.
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

// appendChanged appends to out the sections by which next differs from old, by a
// merge of the two lists, which are sorted by name.
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
