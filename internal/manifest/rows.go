package manifest

import (
	"encoding/json"
	"fmt"
	"strings"

	"currantstall/internal/platform"
)

// Keys of the rows and prefix of the objects of the manifest.
const (
	rowPrefix    = "manifest/"
	headRow      = rowPrefix + "head"
	logRow       = rowPrefix + "log"
	objectPrefix = "manifest/" // of whole manifests; followed by the WriteID
)

// Bounds of the change log.
const (
	maxLogChanges  = 64
	maxLogSections = 512
)

// head is the row that holds the number of the accepted version. A version is
// accepted by the conditional write of this row. It is small, since every entry
// polls it.
type head struct {
	Version uint64 `json:"version"`
	WriteID string `json:"write_id"` // unique to the write of this version
	Writer  string `json:"writer"`
	// Base names the object with the whole manifest at BaseVersion, empty if
	// there is none. Section rows of that and earlier versions are obsolete.
	Base        string `json:"base,omitempty"`
	BaseVersion uint64 `json:"base_version,omitempty"`
}

// versionRecord describes one accepted version in the change log.
type versionRecord struct {
	Version  uint64   `json:"version"`
	WriteID  string   `json:"write_id"`
	Writer   string   `json:"writer"`
	Sections []string `json:"sections,omitempty"`
	// Whole means that the version was written as a new base object; Sections
	// is then empty.
	Whole bool `json:"whole,omitempty"`
}

// changeLog is the row that lists the last accepted versions, oldest first. The
// transaction of each version writes it together with the head.
type changeLog struct {
	Entries []versionRecord `json:"entries"`
}

// add returns the log with a record appended and with the oldest records beyond
// the bounds dropped.
func (l changeLog) add(record versionRecord) changeLog {
	records := append(append([]versionRecord(nil), l.Entries...), record)
	first, sections := len(records), 0
	for first > 0 && len(records)-first < maxLogChanges {
		sections += len(records[first-1].Sections)
		if sections > maxLogSections && first < len(records) {
			break
		}
		first--
	}
	return changeLog{Entries: records[first:]}
}

// recordOf returns the record of a version, or false if the log does not have it.
func (l changeLog) recordOf(version uint64) (versionRecord, bool) {
	for _, record := range l.Entries {
		if record.Version == version {
			return record, true
		}
	}
	return versionRecord{}, false
}

// sectionsSince returns the names of the sections that changed after a version,
// or false if the log does not cover all versions up to upTo by section.
func (l changeLog) sectionsSince(version, upTo uint64) ([]string, bool) {
	seen := map[string]bool{}
	var names []string
	for v := version + 1; v <= upTo; v++ {
		record, ok := l.recordOf(v)
		if !ok || record.Whole {
			return nil, false
		}
		for _, name := range record.Sections {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names, true
}

// sectionRow is the row of one section. The removal of a section is kept as a row
// while a base object may still hold the section.
type sectionRow struct {
	Version uint64 `json:"version"` // of the manifest that wrote the row
	Section
}

func decodeRow(row platform.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode manifest row %s: %w", row.Key, err)
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
