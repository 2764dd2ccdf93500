package jobstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/sleep"
)

const (
	// StartLease is how long after a renewal of its ownership an owner may start
	// tasks of stored jobs.
	StartLease = time.Second
	// RunLease is how long after a renewal of the ownership running tasks of stored
	// jobs may continue.
	RunLease = 2500 * time.Millisecond
	// KeepLease is how long after a read of the owner's row that shows no recall another leader may keep
	// running tasks of stored jobs. A lost read or a late one is to end no runs.
	KeepLease = 900 * time.Millisecond
	// claimDelay is how long an owner must have failed to renew its ownership
	// before another entry may claim it: StartLease plus a margin for different
	// clock rates.
	claimDelay = 1100 * time.Millisecond
	// claimPollInterval is the pause between two reads of the owner's row.
	claimPollInterval = 150 * time.Millisecond
	// renewInterval is the pause between two renewals while jobs are open.
	renewInterval = 300 * time.Millisecond
	// minSaveInterval is the minimum time between two transactions that save
	// records.
	minSaveInterval = 20 * time.Millisecond
	// maxSavesPerTx limits the records in one transaction; each needs up to two
	// rows.
	maxSavesPerTx = 40
	// changesWait is how long a read of newly accepted jobs waits for one.
	changesWait = 2 * time.Second
	// idleChangesWait is how long such a read waits while no job is open.
	idleChangesWait = 10 * time.Second
	// cleanUpInterval is the pause between two rounds of cleaning up ended jobs.
	cleanUpInterval = time.Second
	// maxCleanUpPerTx limits the ended jobs that one transaction cleans up.
	maxCleanUpPerTx = 40
)

var (
	errNotOwner    = errors.New("another entry owns the stored jobs")
	errJobsDropped = errors.New("the entry dropped the stored jobs, since the ownership was not renewed in time")
)

// Save is a request to save a job's record. Seq numbers the saves of a job. Epoch is that of the
// ownership under which the record came about, 0 if it is not known.
type Save struct {
	Job    string
	Seq    int
	Epoch  int
	Record fleet.Record
}

// StoredJob is an accepted job with its record, as restored from the store.
type StoredJob struct {
	AcceptedJob
	Record fleet.Record
}

// Events receives the events of an Owner. Its methods must not block.
type Events interface {
	// JobsExist is called when there are open jobs, before they are claimed.
	JobsExist()
	// NoJobs is called when a first read finds no open job.
	NoJobs()
	// Acquired is called when this entry has become the owner of an epoch, with
	// all stored jobs. The previous owner has not renewed its ownership since
	// lastSeen.
	Acquired(epoch int, lastSeen time.Duration, jobs []StoredJob)
	// MayKeepRuns is called when the owner's row was read and shows no recall: other leaders may keep
	// running tasks of stored jobs until the given time.
	MayKeepRuns(until time.Duration)
	// Renewed is called after each renewal of the ownership, which was sent at
	// the time renewed. Tasks may be started until the given time.
	Renewed(renewed, until time.Duration)
	// JobAccepted is called when a newly accepted job is found in the store;
	// any entry may have accepted it.
	JobAccepted(AcceptedJob)
	// RecordSaved is called when the record of a Save is in the store.
	RecordSaved(job string, seq int)
	// OwnershipLost is called when another entry has become the owner.
	OwnershipLost()
}

// Owner holds the ownership of the stored jobs for an entry that leads, while Run
// runs. At most one entry is the owner: each of its writes is conditional on the
// owner's row.
type Owner struct {
	tables Tables
	self   string
	clock  func() time.Duration // advances while the VM is suspended
	events Events
	log    *slog.Logger

	mu           sync.Mutex
	pendingSaves map[string]Save
	saveOrder    []string                 // jobs with a pending save, oldest first
	cleanUpQueue map[string][]string      // ended jobs with rows to delete, by part
	endedAt      map[string]time.Duration // when each ended job was first known to have ended
	open         map[string]bool          // jobs that have not ended
	droppedEpoch int                      // the last epoch whose jobs the entry has dropped
	recallFrom   time.Duration            // writes of the owner's row that are sent from then on show the recall; 0 for none
	wake         chan struct{}            // wakes serve
	jobAccepted  chan struct{}

	// Owned by Run.
	epoch           int
	ownedSince      int  // the first epoch since which no other entry has been the owner
	mustTellLoss    bool // the entry has the jobs of an epoch, and was not told of its loss
	ownerRowVersion uint64
	writeNumber     uint64 // of the last write of the owner's row
	renewedAt       time.Duration
	rowRecalls      bool // the last write of the owner's row shows the recall
}

// NewOwner returns an Owner for one process of an entry, whose name is self. The
// clock must advance while the VM is suspended.
func NewOwner(tables Tables, self string, clock func() time.Duration, events Events, log *slog.Logger) *Owner {
	return &Owner{
		tables: tables, self: self, clock: clock, events: events, log: log,
		pendingSaves: make(map[string]Save), cleanUpQueue: make(map[string][]string),
		endedAt: make(map[string]time.Duration), open: make(map[string]bool),
		wake: make(chan struct{}, 1), jobAccepted: make(chan struct{}, 1),
	}
}

// Save queues a record to be saved. A later Save of the same job replaces one that
// is still queued. A record of an ownership that another entry's has followed is not saved.
func (o *Owner) Save(s Save) {
	o.mu.Lock()
	if _, queued := o.pendingSaves[s.Job]; !queued {
		o.saveOrder = append(o.saveOrder, s.Job)
	}
	o.pendingSaves[s.Job] = s
	o.mu.Unlock()
	signal(o.wake)
}

// ExpectJobs tells the owner that there are stored jobs, so that it claims the ownership
// without waiting for the store to report one.
func (o *Owner) ExpectJobs() { signal(o.jobAccepted) }

// AddJob tells the owner of an accepted job that the entry may run from now on. The owner
// renews the ownership for it even if the store has not reported the job yet.
func (o *Owner) AddJob(id string) {
	o.mu.Lock()
	if _, ended := o.endedAt[id]; !ended {
		o.open[id] = true
	}
	o.mu.Unlock()
	signal(o.jobAccepted)
}

// JobsDropped tells the owner that the entry has dropped the jobs of an epoch, since it knew
// of no renewal within RunLease. The entry alone decides that, by the runs it has. The
// owner restores the jobs in a new epoch.
func (o *Owner) JobsDropped(epoch int) {
	o.mu.Lock()
	o.droppedEpoch = max(o.droppedEpoch, epoch)
	o.mu.Unlock()
	signal(o.wake)
}

// RecallFrom makes all writes of the owner's row that are sent at the given time or later recall the
// running tasks that other leaders keep. It returns the time from which on they do, which is later if the given time
// has passed. With 0 no write recalls them.
func (o *Owner) RecallFrom(at time.Duration) time.Duration {
	o.mu.Lock()
	if at != 0 {
		at = max(at, o.clock()+1)
	}
	o.recallFrom = at
	o.mu.Unlock()
	signal(o.wake)
	return at
}

// recallDue reports whether the owner's row has to be written to show a recall, or its end. Otherwise it returns for
// how long it need not be asked again.
func (o *Owner) recallDue() (due bool, wait time.Duration) {
	o.mu.Lock()
	from := o.recallFrom
	o.mu.Unlock()
	now := o.clock()
	switch {
	case from == 0:
		return o.rowRecalls, renewInterval
	case now < from:
		return o.rowRecalls, min(from-now, renewInterval)
	}
	return o.renewedAt < from, renewInterval
}

// signal wakes the receiver of a channel with a buffer of 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run claims the ownership as soon as there are stored jobs, and saves their
// records, until the context ends. Then it releases the ownership.
func (o *Owner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { o.expireMarks(ctx) })
	for ctx.Err() == nil {
		_, _, err := o.readOwner(ctx)
		if err == nil {
			err = o.awaitJobs(ctx)
		}
		if err == nil {
			o.events.JobsExist()
			err = o.serveOwnership(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errNotOwner) {
			o.log.Info("ownership of stored jobs lost to another entry", "epoch", o.epoch)
			o.tellLoss()
		} else {
			o.log.Info("ownership of stored jobs interrupted; trying again", "err", err)
		}
		sleepJittered(ctx, maxBackoff)
	}
	o.release()
}

// tellLoss tells the entry, if it has jobs, that another entry has become the owner.
func (o *Owner) tellLoss() {
	if o.mustTellLoss {
		o.mustTellLoss = false
		o.events.OwnershipLost()
	}
}

// sleepJittered sleeps for d/2 to 3d/2, or until the context ends.
func sleepJittered(ctx context.Context, d time.Duration) {
	sleep.For(ctx, d/2+rand.N(d)) //nolint:errcheck // the caller checks the context
}

// serveOwnership claims the ownership, restores the jobs, and serves them until
// the ownership is lost, a call fails, or the context ends.
func (o *Owner) serveOwnership(ctx context.Context) error {
	lastSeen, err := o.claim(ctx)
	if err != nil {
		return err
	}
	if err := o.savePendingRecords(ctx); err != nil {
		return err
	}
	after, err := o.restore(ctx, lastSeen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { o.followAccepted(ctx, after) })
	wg.Go(func() { o.cleanUp(ctx) })
	err = o.serve(ctx)
	cancel()
	wg.Wait()
	return err
}
