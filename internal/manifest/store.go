package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/google/uuid"

	"currantstall/internal/platform"
	"currantstall/internal/verdict"
)

// maxTxnSections is the largest number of changed sections that are written as
// one row each. A larger change is written as one object, which keeps the
// transaction within the platform's limits and the change within the write
// budget.
const maxTxnSections = 16

// maxObjectAttempts bounds the attempts to write a base object when responses are
// lost.
const maxObjectAttempts = 5

// Store keeps the accepted manifest in the platform. Each section is a row, so
// that the cost of a change depends on the size of the change. The conditional
// write of the head row accepts a version.
type Store struct {
	platform platform.Platform
	// lastKnown is the manifest that was last read or written. It spares Apply
	// a read of all rows, since an accepted version never changes.
	lastKnown atomic.Pointer[Manifest]
	// maxSectionRows is the largest number of sections written as rows.
	maxSectionRows int
}

// NewStore returns a Store that keeps the manifest in the given platform.
func NewStore(p platform.Platform) *Store { return &Store{platform: p, maxSectionRows: maxTxnSections} }

// ConflictError reports that a change was refused because another version than
// its base is accepted.
type ConflictError struct {
	Base          uint64 // version that the refused change is based on
	Writer        string // writer of the refused change
	Current       uint64 // version that is accepted now
	CurrentWriter string // writer of the current version
}

// Error describes the conflict in one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change by %s is based on version %d, but %s already wrote version %d",
		e.Writer, e.Base, e.CurrentWriter, e.Current)
}

// Apply accepts next, a checked canonical manifest, as the version after base. It
// returns the accepted manifest, which is base itself if next changes nothing.
//
// The error is a *verdict.Error. If the version was not accepted, it is NotRun
// with ManifestConflict, whose cause is a *ConflictError, or NotRun with
// PlatformUnavailable. If ctx ended before the result was known, it is MayHaveRun
// with PlatformUnknown.
func (s *Store) Apply(ctx context.Context, writer string, base uint64, next *Manifest) (Update, error) {
	h, row, err := s.readHead(ctx)
	if err != nil {
		return Update{}, unavailableError(err)
	}
	if h.Version != base {
		return Update{}, conflictError(writer, base, h)
	}
	current := s.lastKnown.Load()
	if current.version() != base || current == nil {
		if current, err = s.Load(ctx); err != nil {
			return Update{}, unavailableError(err)
		}
	}
	if current.Version != base {
		return Update{}, s.lostRaceError(ctx, writer, base)
	}
	sections := changedSections(current, next)
	if len(sections) == 0 {
		return Update{Manifest: current, From: base}, nil
	}
	w := &versionWrite{
		guard:    row,
		base:     base,
		sections: sections,
		next:     current.withSections(base+1, sections),
		head:     head{Version: base + 1, WriteID: uuid.NewString(), Writer: writer, Base: h.Base, BaseVersion: h.BaseVersion},
	}
	if err := s.commit(ctx, w); err != nil {
		return Update{}, err
	}
	s.lastKnown.Store(w.next)
	return Update{Manifest: w.next, From: base, Sections: sections}, nil
}

// versionWrite is one attempt to write a version.
type versionWrite struct {
	guard    platform.Row // the head row as read
	base     uint64
	head     head
	sections []Section
	next     *Manifest
}

// commit writes a version and finds out whether it was accepted.
func (s *Store) commit(ctx context.Context, w *versionWrite) error {
	record := versionRecord{Version: w.head.Version, WriteID: w.head.WriteID, Writer: w.head.Writer}
	var puts []platform.Put
	var err error
	if len(w.sections) > s.maxSectionRows {
		record.Whole = true
		err = s.putBase(ctx, w)
	} else {
		puts, err = sectionPuts(w, &record)
	}
	if err != nil {
		return unavailableError(err)
	}
	log, _, err := readRow[changeLog](ctx, s.platform, logRow)
	if err != nil {
		return unavailableError(err)
	}
	txn, err := guardedTxn(w, log.add(record), puts)
	if err != nil {
		return unavailableError(err)
	}
	err = platform.CommitWithReadBack(ctx, s.platform, txn, w.effect)
	return s.applyError(ctx, w, err)
}

// putBase writes the next manifest as the base object that the new head names.
// The name is unique to this write, so a retry overwrites equal bytes.
func (s *Store) putBase(ctx context.Context, w *versionWrite) error {
	data, err := json.Marshal(w.next)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	w.head.Base = objectPrefix + w.head.WriteID
	w.head.BaseVersion = w.head.Version
	for range maxObjectAttempts {
		err = s.platform.PutObject(ctx, w.head.Base, data)
		if err == nil || !errors.Is(err, platform.ErrUnknown) {
			return err
		}
	}
	return err
}

// sectionPuts returns the writes of the section rows and adds the names of the
// sections to the record. A removal deletes the row if there is no base object.
func sectionPuts(w *versionWrite, record *versionRecord) ([]platform.Put, error) {
	var puts []platform.Put
	for _, section := range w.sections {
		record.Sections = append(record.Sections, section.Name)
		put := platform.Put{Key: rowPrefix + section.Name}
		if !section.isRemoval() || w.head.Base != "" {
			var err error
			put, err = putRow(put.Key, sectionRow{Version: w.head.Version, Section: section})
			if err != nil {
				return nil, err
			}
		}
		puts = append(puts, put)
	}
	return puts, nil
}

// guardedTxn returns the transaction that writes the version, on the condition
// that the head has not changed since it was read.
func guardedTxn(w *versionWrite, log changeLog, puts []platform.Put) (platform.Txn, error) {
	headPut, err := putRow(headRow, w.head)
	if err != nil {
		return platform.Txn{}, err
	}
	logPut, err := putRow(logRow, log)
	if err != nil {
		return platform.Txn{}, err
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: headRow, Version: w.guard.Version}},
		Puts:       append([]platform.Put{headPut, logPut}, puts...),
	}, nil
}

// effect determines from the head row whether this write took effect.
func (w *versionWrite) effect(row platform.Row) platform.Effect {
	var now head
	if decodeRow(row, &now) != nil {
		return platform.EffectUnknown
	}
	switch {
	case now.WriteID == w.head.WriteID:
		return platform.EffectApplied
	case now.Version == w.head.Version:
		return platform.EffectNotApplied
	}
	return platform.EffectUnknown
}

// applyError turns the error of a commit into the error of Apply. If the head row
// no longer shows the result, since later versions were accepted, the change log
// decides.
func (s *Store) applyError(ctx context.Context, w *versionWrite, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRejected) {
		return unavailableError(err)
	}
	if !errors.Is(err, platform.ErrUnknown) {
		return s.lostRaceError(ctx, w.head.Writer, w.base)
	}
	log, _, logErr := readRow[changeLog](ctx, s.platform, logRow)
	record, ok := log.recordOf(w.head.Version)
	switch {
	case logErr != nil || !ok:
		return verdict.New(verdict.MayHaveRun, verdict.PlatformUnknown,
			"manifest version %d (write %s) may have been accepted: %w", w.head.Version, w.head.WriteID, err)
	case record.WriteID != w.head.WriteID:
		return s.lostRaceError(ctx, w.head.Writer, w.base)
	}
	return nil
}

// lostRaceError returns the error of a change that was refused because another
// one was accepted first.
func (s *Store) lostRaceError(ctx context.Context, writer string, base uint64) error {
	now, _, err := s.readHead(ctx)
	if err != nil {
		now = head{Version: base + 1, Writer: "another operator"}
	}
	return conflictError(writer, base, now)
}

func conflictError(writer string, base uint64, now head) error {
	cause := &ConflictError{Base: base, Writer: writer, Current: now.Version, CurrentWriter: now.Writer}
	return verdict.New(verdict.NotRun, verdict.ManifestConflict, "%w", cause)
}

func unavailableError(err error) error {
	return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "manifest was not accepted: %w", err)
}
