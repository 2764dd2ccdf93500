package jobstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

const (
	// StartsFor is how long after a renewal an owner may start tasks of stored jobs.
	StartsFor = time.Second
	// RunsFor is how long after a renewal tasks of stored jobs may go on running.
	RunsFor = 2500 * time.Millisecond
	// lapseMargin is how much earlier the owner itself takes the ownership as lapsed.
	lapseMargin = 200 * time.Millisecond
	// claimAfter is how long an owner must not have renewed its ownership for
	// another one to take it: StartsFor, with room for clock rates.
	claimAfter = 1100 * time.Millisecond
	// claimPoll is the pause between two looks at an owner.
	claimPoll = 150 * time.Millisecond
	// renewEvery is the pause between two renewals while jobs are open.
	renewEvery = 300 * time.Millisecond
	// saveEvery is the least time between two transactions that save records.
	saveEvery = 20 * time.Millisecond
	// maxSaves is the most records in one transaction: two rows each.
	maxSaves = 40
	// feedWait is how long a look for accepted jobs waits for one.
	feedWait = 2 * time.Second
	// idleFeedWait is the same while no job is open.
	idleFeedWait = 10 * time.Second
	// cleanEvery is the pause between two rounds that put away ended jobs.
	cleanEvery = time.Second
	// maxClean is the most jobs that are put away by one transaction.
	maxClean = 40
)

var (
	errNotOwner = errors.New("another entry owns the stored jobs")
	errLapsed   = errors.New("the ownership was renewed too late")
)

// Save is a record to be saved.
type Save struct {
	Job    string
	Seq    int
	Record fleet.Record
}

// Stored is a job with its record.
type Stored struct {
	Accepted
	Record fleet.Record
}

// Events tells what happens to the ownership. Its methods must not block.
type Events interface {
	// Expected says that stored jobs exist.
	Expected()
	// None says that no stored job is open.
	None()
	// Owned says that this entry owns the stored jobs, as an owner of an epoch; the
	// one before has not renewed its ownership since lastSeen.
	Owned(epoch int, lastSeen time.Duration, jobs []Stored)
	// Renewed says that starts are allowed until a time.
	Renewed(renewed, until time.Duration)
	// Arrived says that a job was accepted, by whichever entry.
	Arrived(Accepted)
	// Saved says that a record is saved.
	Saved(job string, seq int)
	// Lost says that another entry owns the stored jobs now.
	Lost()
}

// Owner owns the stored jobs for a leader, while Run runs.
type Owner struct {
	rows   Rows
	self   string
	clock  func() time.Duration // goes on while the VM is suspended
	events Events
	log    *slog.Logger

	mu     sync.Mutex
	dirty  map[string]Save
	order  []string
	clean  map[string][]string      // ended jobs whose rows are to be put away, by part
	ended  map[string]time.Duration // jobs that have ended, and since when that is known
	open   map[string]bool          // jobs that have not ended
	wake   chan struct{}
	arrive chan struct{} // a job was accepted

	// Owned by Run.
	epoch   int
	version uint64 // of the owner's row
	write   uint64
	renewed time.Duration
	serving bool // jobs are restored
	busy    bool // jobs were open at the last renewal
}

// NewOwner returns an Owner for a run of an entry. The clock must go on while the VM
// is suspended.
func NewOwner(rows Rows, self string, clock func() time.Duration, events Events, log *slog.Logger) *Owner {
	return &Owner{
		rows: rows, self: self, clock: clock, events: events, log: log,
		dirty: make(map[string]Save), clean: make(map[string][]string),
		ended: make(map[string]time.Duration), open: make(map[string]bool),
		wake: make(chan struct{}, 1), arrive: make(chan struct{}, 1),
	}
}

// Save has a record saved soon. A later one of the same job replaces it.
func (o *Owner) Save(s Save) {
	o.mu.Lock()
	if _, waits := o.dirty[s.Job]; !waits {
		o.order = append(o.order, s.Job)
	}
	o.dirty[s.Job] = s
	o.mu.Unlock()
	poke(o.wake)
}

// Expect says that a job was accepted that should find an owner.
func (o *Owner) Expect() { poke(o.arrive) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run takes the stored jobs over as soon as there are some, and saves their records,
// until the context ends. Then it gives them up.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := o.awaitJobs(ctx)
		if err == nil {
			o.events.Expected()
			err = o.own(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errNotOwner) {
			o.log.Info("stored jobs lost to another owner", "epoch", o.epoch)
			o.events.Lost()
		} else {
			o.log.Info("stored jobs not owned", "err", err)
		}
		pause(ctx, lastRetry)
	}
	o.release()
}

// pause waits for about d.
func pause(ctx context.Context, d time.Duration) {
	sleep.For(ctx, d/2+rand.N(d)) //nolint:errcheck // the caller looks at the context
}

// awaitJobs returns once there are stored jobs.
func (o *Owner) awaitJobs(ctx context.Context) error {
	rows, after, err := o.readOpen(ctx, 1)
	if err == nil && len(rows) == 0 {
		o.events.None()
	}
	for err == nil && len(rows) == 0 {
		after, err = o.awaitChange(ctx, after, &rows)
	}
	return err
}

func (o *Owner) awaitChange(ctx context.Context, after uint64, rows *[]Row) (uint64, error) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-o.arrive:
			cancel()
		case <-wait.Done():
		}
	}()
	got, next, err := o.rows.Changes(wait, tableOpen, after, idleFeedWait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		*rows = []Row{{}} // told of one
		return after, nil
	}
	for _, r := range got {
		if !r.Removed {
			*rows = append(*rows, r)
		}
	}
	return max(after, next), err
}

// readOpen reads the accepted jobs, at most that many of each part (0: all), and the
// version after which changes follow.
func (o *Owner) readOpen(ctx context.Context, limit int) ([]Row, uint64, error) {
	var parts [openParts][]Row
	var versions [openParts]uint64
	var errs [openParts]error
	var wg sync.WaitGroup
	for p := range openParts {
		wg.Go(func() { parts[p], versions[p], errs[p] = readAll(ctx, o.rows, tableOpen, strconv.Itoa(p), limit) })
	}
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, 0, err
	}
	// Changes after the earliest of the reads come again.
	return slices.Concat(parts[:]...), slices.Min(versions[:]), nil
}

// readAll reads a part of a table, at most that many rows (0: all), and the version
// of the store before.
func readAll(ctx context.Context, rows Rows, table, part string, limit int) ([]Row, uint64, error) {
	var all []Row
	var version uint64
	from := ""
	for {
		page, err := rows.Read(ctx, table, part, from, limit)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			version = page.Version
		}
		all = append(all, page.Rows...)
		if !page.More || len(page.Rows) == 0 || limit > 0 {
			return all, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// own claims the ownership, restores the jobs, and serves until it is lost.
func (o *Owner) own(ctx context.Context) error {
	lastSeen, err := o.claim(ctx)
	if err != nil {
		return err
	}
	if err := o.saveLeft(ctx); err != nil {
		return err
	}
	after, err := o.restore(ctx, lastSeen)
	if err != nil {
		return err
	}
	o.serving = true
	defer func() { o.serving = false }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { o.follow(ctx, after) })
	wg.Go(func() { o.cleanUp(ctx) })
	err = o.serve(ctx)
	cancel()
	wg.Wait()
	return err
}

// claim takes the ownership once the owner before has not renewed it for long
// enough, and returns when that one's renewal was seen first.
func (o *Owner) claim(ctx context.Context) (time.Duration, error) {
	var seen uint64
	var since time.Duration
	for {
		row, value, err := o.readOwner(ctx)
		if err != nil {
			return 0, err
		}
		now := o.clock()
		if since == 0 || row.Version != seen {
			seen, since = row.Version, now
		}
		free := row.Version == 0 || value.Holder == "" || value.Holder == o.self
		if free || now >= since+claimAfter {
			own := value.Holder == o.self && value.Epoch == o.epoch
			o.epoch, o.version = value.Epoch+1, row.Version
			err := o.apply(ctx, nil, nil)
			if err == nil && !own {
				o.forgetSaves() // another owner has gone on since
			}
			if err == nil {
				o.log.Info("stored jobs claimed", "epoch", o.epoch, "before", value.Holder, "unchanged_ms", (now - since).Milliseconds())
				return since, nil
			}
			if !errors.Is(err, errNotOwner) {
				return 0, err
			}
		}
		if sleep.For(ctx, claimPoll) != nil {
			return 0, ctx.Err()
		}
	}
}

func (o *Owner) readOwner(ctx context.Context) (Row, ownerRow, error) {
	var value ownerRow
	row, ok, err := get(ctx, o.rows, tableOwner, ownerPart, ownerKey)
	if err != nil || !ok {
		return Row{}, value, err
	}
	if err := wire.Decode(row.Value, &value); err != nil {
		return row, value, fmt.Errorf("owner of the stored jobs: %w", err)
	}
	return row, value, nil
}

// apply carries out a transaction under the ownership, which it renews. It tries
// until the end is certain: errNotOwner, or nil.
func (o *Owner) apply(ctx context.Context, puts, remove []Row) error {
	o.write++
	value, err := wire.Encode(ownerRow{Holder: o.self, Epoch: o.epoch, Write: o.write})
	if err != nil {
		return err
	}
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value}
	sent := o.clock()
	wait := firstRetry
	for {
		own.Version = o.version
		version, err := o.rows.Apply(ctx, Tx{Conditions: []Row{own}, Puts: append(puts[:len(puts):len(puts)], own), Remove: remove})
		var conflict *ConflictError
		switch {
		case err == nil:
			return o.renew(sent, version)
		case errors.As(err, &conflict):
			done, err := o.conflict(conflict, sent)
			if done || err != nil {
				return err
			}
			continue
		case errors.Is(err, platform.ErrRejected):
			return fmt.Errorf("save records: %w", err)
		}
		if sleep.For(ctx, wait) != nil {
			return ctx.Err()
		}
		wait = min(2*wait, lastRetry)
	}
}

// conflict looks at what stands in the owner's row: this very write, an earlier one
// whose answer was lost, or another owner's.
func (o *Owner) conflict(c *ConflictError, sent time.Duration) (bool, error) {
	var version uint64
	var value ownerRow
	for _, r := range c.Current {
		if r.Table == tableOwner && r.Version > 0 {
			version = r.Version
			if err := wire.Decode(r.Value, &value); err != nil {
				return false, fmt.Errorf("owner of the stored jobs: %w", err)
			}
		}
	}
	if value.Holder != o.self || value.Epoch != o.epoch {
		return false, errNotOwner
	}
	if value.Write == o.write {
		return true, o.renew(sent, version)
	}
	o.version = version
	return false, nil
}

// renew notes a renewal. One that comes too late for what runs makes the owner
// restore all jobs again.
func (o *Owner) renew(sent time.Duration, version uint64) error {
	lapsed := o.serving && o.busy && o.clock() > o.renewed+RunsFor-lapseMargin
	o.version, o.renewed = version, sent
	o.mu.Lock()
	o.busy = len(o.open) > 0
	o.mu.Unlock()
	if lapsed {
		return errLapsed
	}
	o.events.Renewed(sent, sent+StartsFor)
	return nil
}

// restore reads the jobs and their records, and hands them over.
func (o *Owner) restore(ctx context.Context, lastSeen time.Duration) (uint64, error) {
	rows, after, err := o.readOpen(ctx, 0)
	if err != nil {
		return 0, err
	}
	records, err := o.readRecords(ctx)
	if err != nil {
		return 0, err
	}
	jobs := make([]Stored, 0, len(rows))
	o.mu.Lock()
	o.clean, o.open, o.ended = make(map[string][]string), make(map[string]bool), make(map[string]time.Duration)
	for _, r := range rows {
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job that can't be read", "job", r.Key, "err", err)
			continue
		}
		j := Stored{acc, records[r.Key]}
		jobs = append(jobs, j)
		if j.Record.State.Ended() {
			o.clean[r.Part] = append(o.clean[r.Part], r.Key)
			o.ended[r.Key] = o.clock()
		} else {
			o.open[r.Key] = true
		}
	}
	o.log.Info("stored jobs restored", "epoch", o.epoch, "jobs", len(jobs), "open", len(o.open), "records", len(records))
	o.mu.Unlock()
	o.events.Owned(o.epoch, lastSeen, jobs)
	return after, nil
}

func (o *Owner) readRecords(ctx context.Context) (map[string]fleet.Record, error) {
	rows, _, err := readAll(ctx, o.rows, tableProgress, ownerPart, 0)
	if err != nil {
		return nil, err
	}
	records := make(map[string]fleet.Record, len(rows))
	for _, r := range rows {
		rec, err := decodeRecord(r)
		if err != nil {
			o.log.Error("record that can't be read", "job", r.Key, "err", err)
			continue
		}
		records[r.Key] = rec
	}
	return records, nil
}

// follow hands over the jobs that are accepted from now on.
func (o *Owner) follow(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		rows, next, err := o.rows.Changes(ctx, tableOpen, after, feedWait)
		if err != nil {
			if ctx.Err() == nil {
				o.log.Info("accepted jobs not followed", "after", after, "err", err)
				pause(ctx, lastRetry)
				if rows, version, readErr := o.readOpen(ctx, 0); readErr == nil {
					o.arrived(rows) // the history may be gone
					after = max(after, version)
				}
			}
			continue
		}
		o.arrived(rows)
		after = max(after, next)
	}
}

func (o *Owner) arrived(rows []Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job that can't be read", "job", r.Key, "err", err)
			continue
		}
		o.mu.Lock()
		_, ended := o.ended[r.Key]
		if !ended {
			o.open[r.Key] = true
		}
		o.mu.Unlock()
		if !ended {
			o.events.Arrived(acc)
		}
	}
}

// serve saves records and renews the ownership.
func (o *Owner) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-o.arrive:
		case <-time.After(renewEvery):
		}
		for {
			saves := o.takeSaves()
			if len(saves) == 0 && !o.renewalDue() {
				break
			}
			began := o.clock()
			if err := o.save(ctx, saves); err != nil {
				return err
			}
			if sleep.For(ctx, saveEvery-(o.clock()-began)) != nil {
				return ctx.Err()
			}
		}
	}
}

// renewalDue reports whether the ownership should be renewed for the jobs that are
// open.
func (o *Owner) renewalDue() bool {
	o.mu.Lock()
	open := len(o.open)
	o.mu.Unlock()
	return open > 0 && o.clock() >= o.renewed+renewEvery
}

func (o *Owner) takeSaves() []Save {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.order), maxSaves)
	saves := make([]Save, n)
	for i, id := range o.order[:n] {
		saves[i] = o.dirty[id]
		delete(o.dirty, id)
	}
	o.order = append([]string(nil), o.order[n:]...)
	return saves
}

// saveLeft saves the records that were left when the ownership lapsed: nobody else
// has owned the jobs since.
func (o *Owner) saveLeft(ctx context.Context) error {
	for {
		saves := o.takeSaves()
		if len(saves) == 0 {
			return nil
		}
		if err := o.save(ctx, saves); err != nil {
			return err
		}
	}
}

func (o *Owner) forgetSaves() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dirty, o.order = make(map[string]Save), nil
}

func (o *Owner) save(ctx context.Context, saves []Save) error {
	var lapsed error
	var puts []Row
	for _, s := range saves {
		value, err := wire.Encode(s.Record)
		if err != nil {
			return fmt.Errorf("save record of job %s: %w", s.Job, err)
		}
		puts = append(puts, Row{Table: tableProgress, Part: ownerPart, Key: s.Job, Value: value})
		if s.Record.State.Ended() {
			state, err := wire.Encode(endedRow{State: s.Record.State, EndedMS: time.Now().UnixMilli()})
			if err != nil {
				return fmt.Errorf("save state of job %s: %w", s.Job, err)
			}
			puts = append(puts, Row{Table: tableEnded, Part: ownerPart, Key: s.Job, Value: state})
		}
	}
	if err := o.apply(ctx, puts, nil); err != nil && !errors.Is(err, errLapsed) {
		o.putBack(saves)
		return err
	} else if err != nil {
		lapsed = err // saved all the same
	}
	for _, s := range saves {
		o.events.Saved(s.Job, s.Seq)
		if s.Record.State.Ended() {
			o.mu.Lock()
			delete(o.open, s.Job)
			o.ended[s.Job] = o.clock()
			part := partOf(s.Job)
			o.clean[part] = append(o.clean[part], s.Job)
			o.mu.Unlock()
		}
	}
	return lapsed
}

// putBack has records saved again that were not saved, unless later ones wait.
func (o *Owner) putBack(saves []Save) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range saves {
		if _, later := o.dirty[s.Job]; !later {
			o.dirty[s.Job] = s
			o.order = append(o.order, s.Job)
		}
	}
}

// release gives the ownership up, so that another entry need not wait.
func (o *Owner) release() {
	if o.version == 0 {
		return
	}
	value, err := wire.Encode(ownerRow{Epoch: o.epoch, Write: o.write + 1})
	if err != nil {
		o.log.Error("ownership not given up", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptWithin)
	defer cancel()
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value, Version: o.version}
	if _, err := o.rows.Apply(ctx, Tx{Conditions: []Row{own}, Puts: []Row{own}}); err != nil {
		o.log.Info("ownership not given up", "epoch", o.epoch, "err", err)
	}
}
