package overload

import (
	"time"
)

// Account is what a pool knows of a kind of work: its part in the division, and what its jobs ask and get.
type Account struct {
	Kind
	Used    int64 // room that its runs take, in thousandths of a core
	Waiting int   // jobs, as of the round
	// RunTime is the usual run time of a task, 0 if it is not known.
	RunTime   time.Duration
	Weight    float64 // in the division
	part      float64 // of the room, guaranteed among the kinds that have work
	guarantee float64 // of the room, if the operator has set shares
	rate      Rate
	usual     Use
	sizes     Sizes
	groups    Groups
}

// Request is what is noted of a job when it arrives.
type Request struct {
	CoreSeconds float64 // expected
	Group       string  // of its callers
	class       Class
}

// Arrive notes that a job arrived.
func (a *Account) Arrive(now time.Duration, r *Request) {
	r.class = a.sizes.Arrive(r.CoreSeconds)
	a.groups.Ask(now, r.Group, r.CoreSeconds)
}

// Begin notes that a job got its first room.
func (a *Account) Begin(now time.Duration, r *Request) {
	a.sizes.Serve(now, r.class)
	a.groups.Get(now, r.Group, r.CoreSeconds)
}

// Start notes that a task got room.
func (a *Account) Start(now time.Duration, milliCPU int64) {
	a.Used += milliCPU
	a.rate.Add(now, 1, milliCPU)
	a.usual.Start(milliCPU)
}

// Refuse reports whether a job that is expected to wait so long, and should start within slack, is refused at once.
func (a *Account) Refuse(now time.Duration, r *Request, wait, slack time.Duration) bool {
	if !a.sizes.Refuse(Arrival{Wait: wait, Slack: slack, Class: r.class, Over: a.groups.Over(r.Group)}) {
		return false
	}
	a.Refused(now, r)
	return true
}

// Refused notes that a job was refused after a wait.
func (a *Account) Refused(now time.Duration, r *Request) { a.sizes.Turn(now, r.class) }

// claim returns what the kind brings to the choice of who gets the next room.
func (a *Account) claim() Claim {
	return Claim{Use: float64(a.Used), Weight: a.Weight, Urgency: a.Urgency, Guarantee: a.guarantee}
}

// Before reports whether the kind gets the next room before another one.
func (a *Account) Before(o *Account) bool { return a.claim().Before(o.claim()) }

func (a *Account) over() bool { return float64(a.Used) >= a.part }

func (a *Account) hasWork() bool { return a.usual.Lately() || a.Used > 0 || a.Waiting > 0 }

// Targets tells of the room of a service's targets.
type Targets interface {
	// MilliCPU is the capacity of those that stay, in thousandths of a core.
	MilliCPU(service string) float64
	// Places returns how many tasks of a size find room now.
	Places(service string, milliCPU int64) int
}

// Division is the division of a pool's room between the kinds of work.
type Division struct {
	accounts []*Account
	shares   bool           // the operator has set some
	spare    map[string]int // tasks that kinds of a service above their parts may start in the round
}

// Set sets the kinds, and reports whether the operator has set shares.
func (d *Division) Set(accounts []*Account) bool {
	kinds := make([]Kind, len(accounts))
	d.accounts, d.shares = accounts, false
	for i, a := range accounts {
		kinds[i] = a.Kind
		d.shares = d.shares || a.Share > 0
	}
	for i, w := range Weights(kinds) {
		accounts[i].Weight = w
	}
	return d.shares
}

// Round begins a round of starts.
func (d *Division) Round(now time.Duration, t Targets) {
	d.spare = nil
	waits := false
	for _, a := range d.accounts {
		a.rate.Add(now, 0, 0) // updates the rate of a kind without starts too
		a.usual.Observe(now, a.Used)
		waits = waits || a.Waiting > 0
	}
	if !waits {
		return
	}
	d.setParts(t)
	byService := make(map[string][]Taker, 1)
	for _, a := range d.accounts {
		byService[a.Service] = append(byService[a.Service], Taker{&a.usual, float64(a.Used), a.part, a.RunTime})
	}
	for service, takers := range byService {
		if tasks, milliCPU := Held(takers); tasks > 0 {
			if d.spare == nil {
				d.spare = make(map[string]int, 1)
			}
			d.spare[service] = t.Places(service, milliCPU) - tasks
		}
	}
}

// setParts sets the part of the room that each kind is guaranteed among those of its service that have work.
func (d *Division) setParts(t Targets) {
	weights, capacity := make(map[string]float64, 1), make(map[string]float64, 1)
	for _, a := range d.accounts {
		if _, known := capacity[a.Service]; !known {
			capacity[a.Service] = t.MilliCPU(a.Service)
		}
		if a.hasWork() {
			weights[a.Service] += a.Weight
		}
	}
	for _, a := range d.accounts {
		sum := weights[a.Service]
		if !a.hasWork() {
			sum += a.Weight
		}
		if a.part = Guaranteed(capacity[a.Service], a.Weight, sum); d.shares {
			a.guarantee = Guaranteed(capacity[a.Service], a.Weight, 1)
		}
	}
}

// MayStart reports whether a kind may start tasks although room is held for others.
func (d *Division) MayStart(a *Account) bool {
	spare, held := d.spare[a.Service]
	return !held || spare > 0 || !a.over()
}

// Started notes that tasks of a kind were started.
func (d *Division) Started(a *Account, tasks int) {
	if _, held := d.spare[a.Service]; held && a.over() {
		d.spare[a.Service] -= tasks
	}
}

// Wait returns how long a job of the kind is likely to wait, from the work that gets its room by then, its own included,
// the size of its largest task, and the number of such tasks that find room now. Where less of them do than by their
// processors alone, something else is short, and the room that comes free tells nothing.
func (d *Division) Wait(a *Account, ahead Ahead, milliCPU int64, places int, t Targets) time.Duration {
	if a.part == 0 {
		d.setParts(t)
	}
	room := Room{Guaranteed: a.part, Used: float64(a.Used), Places: places}
	if t.Places(a.Service, milliCPU) <= places {
		for _, o := range d.accounts {
			if o.Service == a.Service {
				room.Freed += o.rate.MilliCPU()
			}
		}
	}
	return ahead.Wait(room, &a.rate)
}
