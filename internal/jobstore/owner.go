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
	// StartLease is how long after a renewal an owner may start tasks of stored jobs.
	StartLease = time.Second
	// RunLease is how long after a renewal tasks of stored jobs may go on running.
	RunLease = 2500 * time.Millisecond
	// expiryMargin is how much earlier the owner itself takes the ownership as lapsed.
	expiryMargin = 200 * time.Millisecond
	// claimDelay is how long an owner must not have renewed its ownership for
	// another one to take it: StartsFor, with room for clock rates.
	claimDelay = 1100 * time.Millisecond
	// claimPollInterval is the pause between two looks at an owner.
	claimPollInterval = 150 * time.Millisecond
	// renewInterval is the pause between two renewals while jobs are open.
	renewInterval = 300 * time.Millisecond
	// minSaveInterval is the least time between two transactions that save records.
	minSaveInterval = 20 * time.Millisecond
	// maxSavesPerTx is the most records in one transaction: two rows each.
	maxSavesPerTx = 40
	// changesWait is how long a look for accepted jobs waits for one.
	changesWait = 2 * time.Second
	// idleChangesWait is the same while no job is open.
	idleChangesWait = 10 * time.Second
	// cleanUpInterval is the pause between two rounds that put away ended jobs.
	cleanUpInterval = time.Second
	// maxCleanUpPerTx is the most jobs that are put away by one transaction.
	maxCleanUpPerTx = 40
)

var (
	errNotOwner     = errors.New("another entry owns the stored jobs")
	errLeaseExpired = errors.New("the ownership was renewed too late")
)

// Save is a record to be saved.
type Save struct {
	Job    string
	Seq    int
	Record fleet.Record
}

// StoredJob is a job with its record.
type StoredJob struct {
	AcceptedJob
	Record fleet.Record
}

// Events tells what happens to the ownership. Its methods must not block.
type Events interface {
	// JobsExist says that stored jobs exist.
	JobsExist()
	// NoJobs says that no stored job is open.
	NoJobs()
	// Acquired says that this entry owns the stored jobs, as an owner of an epoch; the
	// one before has not renewed its ownership since lastSeen.
	Acquired(epoch int, lastSeen time.Duration, jobs []StoredJob)
	// Renewed says that starts are allowed until a time.
	Renewed(renewed, until time.Duration)
	// JobAccepted says that a job was accepted, by whichever entry.
	JobAccepted(AcceptedJob)
	// RecordSaved says that a record is saved.
	RecordSaved(job string, seq int)
	// OwnershipLost says that another entry owns the stored jobs now.
	OwnershipLost()
}

// Owner owns the stored jobs for a leader, while Run runs.
type Owner struct {
	tables Tables
	self   string
	clock  func() time.Duration // goes on while the VM is suspended
	events Events
	log    *slog.Logger

	mu            sync.Mutex
	pendingSaves  map[string]Save
	saveOrder     []string
	cleanUpQueue  map[string][]string      // ended jobs whose rows are to be put away, by part
	endedAt       map[string]time.Duration // jobs that have ended, and since when that is known
	open          map[string]bool          // jobs that have not ended
	saveRequested chan struct{}
	jobAccepted   chan struct{} // a job was accepted

	// Owned by Run.
	epoch           int
	ownerRowVersion uint64 // of the owner's row
	writeNumber     uint64
	renewedAt       time.Duration
	serving         bool // jobs are restored
	hadOpenJobs     bool // jobs were open at the last renewal
}

// NewOwner returns an Owner for a run of an entry. The clock must go on while the VM
// is suspended.
func NewOwner(rows Tables, self string, clock func() time.Duration, events Events, log *slog.Logger) *Owner {
	return &Owner{
		tables: rows, self: self, clock: clock, events: events, log: log,
		pendingSaves: make(map[string]Save), cleanUpQueue: make(map[string][]string),
		endedAt: make(map[string]time.Duration), open: make(map[string]bool),
		saveRequested: make(chan struct{}, 1), jobAccepted: make(chan struct{}, 1),
	}
}

// Save has a record saved soon. A later one of the same job replaces it.
func (o *Owner) Save(s Save) {
	o.mu.Lock()
	if _, waits := o.pendingSaves[s.Job]; !waits {
		o.saveOrder = append(o.saveOrder, s.Job)
	}
	o.pendingSaves[s.Job] = s
	o.mu.Unlock()
	signal(o.saveRequested)
}

// NotifyAccepted says that a job was accepted that should find an owner.
func (o *Owner) NotifyAccepted() { signal(o.jobAccepted) }

func signal(c chan struct{}) {
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
			o.events.JobsExist()
			err = o.serveOwnership(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errNotOwner) {
			o.log.Info("stored jobs lost to another owner", "epoch", o.epoch)
			o.events.OwnershipLost()
		} else {
			o.log.Info("stored jobs not owned", "err", err)
		}
		sleepJittered(ctx, maxBackoff)
	}
	o.release()
}

// sleepJittered waits for about d.
func sleepJittered(ctx context.Context, d time.Duration) {
	sleep.For(ctx, d/2+rand.N(d)) //nolint:errcheck // the caller looks at the context
}

// serveOwnership claims the ownership, restores the jobs, and serves until it is lost.
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
	o.serving = true
	defer func() { o.serving = false }()
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
