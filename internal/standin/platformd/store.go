// Package platformd is a small stand-in for the platform's services: the
// transactional table, the object store and the lagging list of VMs, with
// switches for their faults. It keeps everything in memory. Store is the
// service itself and implements platform.Platform within a process; Server
// offers it over HTTP.
package platformd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"currantstall/internal/platform"
)

// errRateLimited wraps platform.ErrUnavailable: nothing was written.
var errRateLimited = fmt.Errorf("rate limit: %w", platform.ErrUnavailable)

// Store holds the rows, objects and VM lines. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	keys    []string // the keys of rows, sorted
	objects map[string][]byte
	list    vmList
	stats   Stats
	faults  faultGate
}

var _ platform.Platform = (*Store)(nil)

// NewStore returns an empty store with the default faults: none, but for the
// platform's rate limits and the lag of its list.
func NewStore() *Store {
	s := &Store{
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		list:    vmList{lines: map[string]platform.VM{}},
		stats:   Stats{Reads: map[string]int64{}, Writes: map[string]int64{}},
	}
	s.faults.set(DefaultFaults())
	return s
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.admitRead(ctx, key); err != nil {
		return platform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.admitRead(ctx, prefix); err != nil {
		return nil, err
	}
	limit = min(max(limit, 1), platform.MaxScanRows)
	s.mu.Lock()
	defer s.mu.Unlock()
	start := sort.SearchStrings(s.keys, prefix)
	if after >= prefix {
		start = sort.Search(len(s.keys), func(i int) bool { return s.keys[i] > after })
	}
	var rows []platform.Row
	for _, k := range s.keys[start:] {
		if len(rows) == limit || !strings.HasPrefix(k, prefix) {
			break
		}
		row := s.rows[k]
		row.Value = bytes.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) error {
	if err := checkTxn(txn); err != nil {
		return err
	}
	if len(txn.Puts) == 0 {
		return s.check(ctx, txn)
	}
	if err := s.admitWrite(ctx, len(txn.Puts)); err != nil {
		return err
	}
	if err := s.apply(txn); err != nil {
		return err
	}
	return s.answer()
}

// check serves a transaction without writes, which counts as a read.
func (s *Store) check(ctx context.Context, txn platform.Txn) error {
	if len(txn.Conditions) == 0 {
		return fmt.Errorf("empty transaction: %w", platform.ErrRejected)
	}
	if err := s.admitRead(ctx, txn.Conditions[0].Key); err != nil {
		return err
	}
	return s.apply(txn)
}

// apply makes the transaction take effect, or returns ErrConflict.
func (s *Store) apply(txn platform.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version && len(txn.Puts) > 0 {
			s.stats.Conflicts++
		}
		if s.rows[c.Key].Version != c.Version {
			return fmt.Errorf("row %s is at version %d, not %d: %w", c.Key, s.rows[c.Key].Version, c.Version, platform.ErrConflict)
		}
	}
	for _, p := range txn.Puts {
		s.stats.Writes[keyPrefix(p.Key)]++
		s.put(p)
	}
	if len(txn.Puts) > 0 {
		s.stats.Commits++
	}
	return nil
}

func (s *Store) put(p platform.Put) {
	old, existed := s.rows[p.Key]
	i := sort.SearchStrings(s.keys, p.Key)
	if p.Value == nil {
		if existed {
			delete(s.rows, p.Key)
			s.keys = slices.Delete(s.keys, i, i+1)
		}
		return
	}
	if !existed {
		s.keys = slices.Insert(s.keys, i, p.Key)
	}
	s.rows[p.Key] = platform.Row{Key: p.Key, Version: old.Version + 1, Value: bytes.Clone(p.Value)}
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if name == "" || len(data) > platform.MaxObjectBytes {
		return fmt.Errorf("object %q of %d bytes: %w", name, len(data), platform.ErrRejected)
	}
	if err := s.admitWrite(ctx, 1); err != nil {
		return err
	}
	s.mu.Lock()
	s.stats.Writes[objectPrefix+keyPrefix(name)]++
	s.objects[name] = bytes.Clone(data)
	s.mu.Unlock()
	return s.answer()
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.admitRead(ctx, objectPrefix+name); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// VMs implements platform.List.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.admitRead(ctx, listPrefix); err != nil {
		return nil, err
	}
	lag := s.faults.get().listLag()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.at(time.Now().Add(-lag)), nil
}

// Announce implements platform.List. It counts against no rate limit.
func (s *Store) Announce(ctx context.Context, vm platform.VM) error {
	if vm.Name == "" {
		return fmt.Errorf("announce a VM without a name: %w", platform.ErrRejected)
	}
	if err := s.admitWrite(ctx, 0); err != nil {
		return err
	}
	s.mu.Lock()
	s.stats.Announces++
	s.list.change(time.Now(), vm, false)
	s.mu.Unlock()
	return s.answer()
}

// RemoveVM takes a VM's line off the list, after the lag. Lines are never
// removed otherwise.
func (s *Store) RemoveVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.change(time.Now(), platform.VM{Name: name}, true)
}

func (s *Store) admitRead(ctx context.Context, key string) error {
	if err := s.faults.admit(ctx, readOp, 1); err != nil {
		s.countRefused(err)
		return err
	}
	s.mu.Lock()
	s.stats.Reads[keyPrefix(key)]++
	s.mu.Unlock()
	return nil
}

func (s *Store) admitWrite(ctx context.Context, n int) error {
	err := s.faults.admit(ctx, writeOp, n)
	if err != nil {
		s.countRefused(err)
	}
	return err
}

func (s *Store) countRefused(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, errRateLimited) {
		s.stats.RateLimited++
		return
	}
	s.stats.Unavailable++
}

// answer returns ErrUnknown if the answer to a write that has taken effect is
// to be lost.
func (s *Store) answer() error {
	if !s.faults.loseAnswer() {
		return nil
	}
	s.mu.Lock()
	s.stats.AnswersLost++
	s.mu.Unlock()
	return platform.ErrUnknown
}

func checkTxn(txn platform.Txn) error {
	n := 0
	for _, p := range txn.Puts {
		if p.Key == "" {
			return fmt.Errorf("put without a key: %w", platform.ErrRejected)
		}
		n += len(p.Key) + len(p.Value)
	}
	if len(txn.Puts) > platform.MaxTxnPuts || n > platform.MaxTxnBytes {
		return fmt.Errorf("transaction of %d rows and %d bytes: %w", len(txn.Puts), n, platform.ErrRejected)
	}
	return nil
}
