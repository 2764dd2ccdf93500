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
