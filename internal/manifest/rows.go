package manifest

import (
	"encoding/json"
	"fmt"
	"strings"

	"currantstall/internal/platform"
)

// Rows and objects of the manifest.
const (
	rowPrefix    = "manifest/"
	headRow      = rowPrefix + "head"
	logRow       = rowPrefix + "log"
	objectPrefix = "manifest/" // whole manifests, by the identifier of their write
)

// Bounds of the log.
const (
	maxLogChanges  = 64
	maxLogSections = 512
)

// head is the row whose conditional write accepts a version. It is small,
// since every entry polls it.
type head struct {
	Version uint64 `json:"version"`
	WriteID string `json:"write_id"` // unique to the write of this version
	Writer  string `json:"writer"`
	// Base names an object with the whole manifest at BaseVersion. Section
	// rows written up to that version are void. Empty if there is none.
	Base        string `json:"base,omitempty"`
	BaseVersion uint64 `json:"base_version,omitempty"`
}

// versionRecord describes one accepted version.
type versionRecord struct {
	Version  uint64   `json:"version"`
	WriteID  string   `json:"write_id"`
	Writer   string   `json:"writer"`
	Sections []string `json:"sections,omitempty"`
	// Whole means that the version replaced the base object, and that
	// Sections is empty.
	Whole bool `json:"whole,omitempty"`
}

// changeLog is the row with the last accepted versions, oldest first. Every
// version's transaction writes it together with the head.
type changeLog struct {
	Entries []versionRecord `json:"entries"`
}

// add appends an entry and drops the oldest ones beyond the bounds.
func (l changeLog) add(e versionRecord) changeLog {
	entries := append(append([]versionRecord(nil), l.Entries...), e)
	first, sections := len(entries), 0
	for first > 0 && len(entries)-first < maxLogChanges {
		sections += len(entries[first-1].Sections)
		if sections > maxLogSections && first < len(entries) {
			break
		}
		first--
	}
	return changeLog{Entries: entries[first:]}
}

// recordOf returns the entry of a version.
func (l changeLog) recordOf(version uint64) (versionRecord, bool) {
	for _, e := range l.Entries {
		if e.Version == version {
			return e, true
		}
	}
	return versionRecord{}, false
}

// sectionsSince returns the names of the sections that changed after a
// version, or false if the log does not tell.
func (l changeLog) sectionsSince(version, upTo uint64) ([]string, bool) {
	seen := map[string]bool{}
	var names []string
	for v := version + 1; v <= upTo; v++ {
		e, ok := l.recordOf(v)
		if !ok || e.Whole {
			return nil, false
		}
		for _, name := range e.Sections {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names, true
}

// sectionRow is a section row. A removal stays as a row while a base object
// may still hold the section.
type sectionRow struct {
	Version uint64 `json:"version"` // of the manifest, at this write
	Section
}

func decodeRow(row platform.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("manifest row %s: %w", row.Key, err)
	}
	return nil
}

func putRow(key string, v any) (platform.Put, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return platform.Put{}, fmt.Errorf("encode manifest row %s: %w", key, err)
	}
	return platform.Put{Key: key, Value: value}, nil
}

// isSectionRow reports whether a row under rowPrefix holds a section.
func isSectionRow(key string) bool {
	name := strings.TrimPrefix(key, rowPrefix)
	return name == limitsSection || strings.HasPrefix(name, kindPrefix) || strings.HasPrefix(name, teamPrefix)
}
