package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"currantstall/internal/platform"
)

const (
	// maxReadAttempts bounds the repetitions of a load that met a write.
	maxReadAttempts = 8
	// maxSingleRowReads is the number of changed sections from which reading
	// all rows, a page at a time, costs fewer reads than one by one.
	maxSingleRowReads = 32
)

// errTornRead means that a version was accepted while the rows were read.
var errTornRead = fmt.Errorf("manifest changed while it was read: %w", platform.ErrUnavailable)

// Update is what LoadSince found. Manifest is nil if there is nothing newer.
type Update struct {
	Manifest *Manifest
	// From is the version to which Sections were applied.
	From uint64
	// Sections are the changes, nil if the whole manifest was read.
	Sections []Section
}

// Load reads the whole accepted manifest. Version 0 means that there is none.
func (s *Store) Load(ctx context.Context) (*Manifest, error) {
	m, err := retryTornReads(ctx, s.loadOnce)
	if err == nil {
		s.lastKnown.Store(m)
	}
	return m, err
}

// LoadSince reads what was accepted after have, which may be nil. It costs one
// read if that is nothing.
func (s *Store) LoadSince(ctx context.Context, have *Manifest) (Update, error) {
	u, err := retryTornReads(ctx, func(ctx context.Context) (Update, error) { return s.loadSinceOnce(ctx, have) })
	if err == nil && u.Manifest != nil {
		s.lastKnown.Store(u.Manifest)
	}
	return u, err
}

// retryTornReads repeats a read that met a write.
func retryTornReads[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	var v T
	var err error
	for range maxReadAttempts {
		v, err = read(ctx)
		if !errors.Is(err, errTornRead) {
			return v, err
		}
	}
	return v, err
}

func (s *Store) readHead(ctx context.Context) (head, platform.Row, error) {
	return readRow[head](ctx, s.platform, headRow)
}

// readRow decodes a row. A row that does not exist gives the zero value.
func readRow[T any](ctx context.Context, table platform.Table, key string) (T, platform.Row, error) {
	var v T
	row, err := table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return v, platform.Row{Key: key}, nil
	}
	if err != nil {
		return v, row, fmt.Errorf("read %s: %w", key, err)
	}
	return v, row, decodeRow(row, &v)
}

func (s *Store) loadOnce(ctx context.Context) (*Manifest, error) {
	h, _, err := s.readHead(ctx)
	if err != nil || h.Version == 0 {
		return &Manifest{}, err
	}
	base, err := s.readBase(ctx, h)
	if err != nil {
		return nil, err
	}
	sections, err := s.scanSections(ctx, h)
	if err != nil {
		return nil, err
	}
	if err := s.checkHeadUnchanged(ctx, h); err != nil {
		return nil, err
	}
	return base.withSections(h.Version, sections), nil
}

// checkHeadUnchanged returns errTorn unless h is still the head. No row that was read
// between two equal heads can be of a later version.
func (s *Store) checkHeadUnchanged(ctx context.Context, h head) error {
	now, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if now.Version != h.Version {
		return errTornRead
	}
	return nil
}

func (s *Store) readBase(ctx context.Context, h head) (*Manifest, error) {
	if h.Base == "" {
		return nil, nil
	}
	data, err := s.platform.GetObject(ctx, h.Base)
	if err != nil {
		return nil, fmt.Errorf("read manifest object %s: %w", h.Base, err)
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("manifest object %s: %w", h.Base, err)
	}
	return &m, nil
}

// scanSections reads the rows that hold since the base.
func (s *Store) scanSections(ctx context.Context, h head) ([]Section, error) {
	var sections []Section
	after := ""
	for {
		rows, err := s.platform.Scan(ctx, rowPrefix, after, platform.MaxScanRows)
		if err != nil {
			return nil, fmt.Errorf("scan manifest rows: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			if !isSectionRow(row.Key) {
				continue
			}
			var v sectionRow
			if err := decodeRow(row, &v); err != nil {
				return nil, err
			}
			if v.Version > h.BaseVersion {
				sections = append(sections, v.Section)
			}
		}
		if len(rows) < platform.MaxScanRows {
			return sections, nil
		}
	}
}

func (s *Store) loadSinceOnce(ctx context.Context, have *Manifest) (Update, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return Update{}, err
	}
	if h.Version <= have.version() {
		return Update{}, nil
	}
	names, ok, err := s.sectionsToRead(ctx, have, h)
	if err != nil {
		return Update{}, err
	}
	if !ok {
		m, err := s.loadOnce(ctx)
		return Update{Manifest: m}, err
	}
	sections, err := s.readSections(ctx, names)
	if err != nil {
		return Update{}, err
	}
	if err := s.checkHeadUnchanged(ctx, h); err != nil {
		return Update{}, err
	}
	return Update{Manifest: have.withSections(h.Version, sections), From: have.version(), Sections: sections}, nil
}

// sectionsToRead returns the names of the sections to read, or false if the
// whole manifest is to be read.
func (s *Store) sectionsToRead(ctx context.Context, have *Manifest, h head) ([]string, bool, error) {
	if have.version() == 0 {
		return nil, false, nil
	}
	log, _, err := readRow[changeLog](ctx, s.platform, logRow)
	if err != nil {
		return nil, false, err
	}
	names, ok := log.sectionsSince(have.version(), h.Version)
	return names, ok && len(names) <= maxSingleRowReads, nil
}

func (s *Store) readSections(ctx context.Context, names []string) ([]Section, error) {
	sections := make([]Section, 0, len(names))
	for _, name := range names {
		v, _, err := readRow[sectionRow](ctx, s.platform, rowPrefix+name)
		if err != nil {
			return nil, err
		}
		v.Section.Name = name
		sections = append(sections, v.Section)
	}
	return sections, nil
}

// version returns the manifest's version, 0 for nil.
func (m *Manifest) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}
