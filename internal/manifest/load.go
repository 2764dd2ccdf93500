package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"currantstall/internal/platform"
)

const (
	// maxReadAttempts bounds the attempts at a load when each is torn by a
	// concurrent write.
	maxReadAttempts = 8
	// maxSingleRowReads is the number of changed sections above which reading
	// all rows in pages costs fewer reads than reading the rows one by one.
	maxSingleRowReads = 32
)

// errTornRead means that another version was accepted while the rows were read.
var errTornRead = fmt.Errorf("manifest changed during the read: %w", platform.ErrUnavailable)

// Update is an accepted version as returned by LoadSince and Apply. Manifest is
// nil if LoadSince found no newer version.
type Update struct {
	Manifest *Manifest
	// From is the version that Sections change into that of Manifest.
	From uint64
	// Sections are the changed sections, nil if the whole manifest was read.
	Sections []Section
}

// Load reads the accepted manifest. Its version is 0 if none has been accepted.
func (s *Store) Load(ctx context.Context) (*Manifest, error) {
	m, err := retryTornReads(ctx, s.loadOnce)
	if err == nil {
		s.lastKnown.Store(m)
	}
	return m, err
}

// LoadSince reads the accepted manifest if it is newer than have, which may be
// nil. It costs one read if there is nothing newer.
func (s *Store) LoadSince(ctx context.Context, have *Manifest) (Update, error) {
	u, err := retryTornReads(ctx, func(ctx context.Context) (Update, error) { return s.loadSinceOnce(ctx, have) })
	if err == nil && u.Manifest != nil {
		s.lastKnown.Store(u.Manifest)
	}
	return u, err
}

// retryTornReads repeats a read that returns errTornRead.
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

// readRow reads and decodes a row. It returns the zero value for a row that does
// not exist.
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

// checkHeadUnchanged returns errTornRead unless h is still the head. Rows that
// were read between two reads of the same head are not of a later version.
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

// readBase reads the base object that the head names, nil if there is none.
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
		return nil, fmt.Errorf("decode manifest object %s: %w", h.Base, err)
	}
	return &m, nil
}

// scanSections reads the section rows that are newer than the base object.
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

// sectionsToRead returns the names of the sections that changed after have, or
// false if the whole manifest must be read.
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

// version returns the manifest's version, or 0 for nil.
func (m *Manifest) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}
