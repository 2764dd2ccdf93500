package manifest

import (
	"fmt"
	"reflect"
	"strings"
)

// Op is how a section differs between two manifests.
type Op string

// The operations of a Change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is the difference of one section between two manifests.
type Change struct {
	Op      Op            `json:"op"`
	Section string        `json:"section"` // kind/<name>, team/<name> or limits
	Fields  []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field, with its values as text.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String returns the change in one line.
func (c Change) String() string {
	if c.Op != Changed {
		return fmt.Sprintf("%s %s", c.Section, c.Op)
	}
	fields := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Field, f.Old, f.New))
	}
	return fmt.Sprintf("%s: %s", c.Section, strings.Join(fields, ", "))
}

// Diff returns the changes from old to next, both canonical, in order of section
// name. It ignores versions and treats a nil manifest as empty.
func Diff(old, next *Manifest) []Change {
	if old == nil {
		old = &Manifest{}
	}
	if next == nil {
		next = &Manifest{}
	}
	var changes []Change
	for _, s := range changedSections(old, next) {
		before := old.section(s.Name)
		switch {
		case s.isRemoval():
			changes = append(changes, Change{Op: Removed, Section: s.Name})
		case before == nil:
			changes = append(changes, Change{Op: Added, Section: s.Name})
		default:
			changes = append(changes, Change{Op: Changed, Section: s.Name, Fields: diffFields(before, s.value())})
		}
	}
	return changes
}

// section returns the Kind, Team or Limits of a section, or nil.
func (m *Manifest) section(name string) any {
	if kind, ok := strings.CutPrefix(name, kindPrefix); ok {
		if k := m.KindNamed(kind); k != nil {
			return *k
		}
		return nil
	}
	if team, ok := strings.CutPrefix(name, teamPrefix); ok {
		if t := m.TeamNamed(team); t != nil {
			return *t
		}
		return nil
	}
	return m.Limits
}

// value returns the section's kind, team or limits.
func (s *Section) value() any {
	switch {
	case s.Kind != nil:
		return *s.Kind
	case s.Team != nil:
		return *s.Team
	}
	return *s.Limits
}

// diffFields returns the fields in which two structs of one type differ.
func diffFields(old, next any) []FieldChange {
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	var out []FieldChange
	for i := range a.NumField() {
		if a.Field(i).Equal(b.Field(i)) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		out = append(out, FieldChange{
			Field: name,
			Old:   fmt.Sprintf("%+v", a.Field(i)),
			New:   fmt.Sprintf("%+v", b.Field(i)),
		})
	}
	return out
}
