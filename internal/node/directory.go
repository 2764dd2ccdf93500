package node

import (
	"maps"
	"time"

	"currantstall/internal/evacuation"
	"currantstall/internal/fleet"
	"currantstall/internal/wire"
)

const (
	// maxTargetListAge is the age above which a list of targets is not trusted to
	// show which targets are leaving.
	maxTargetListAge = 1500 * time.Millisecond
	// minTargetInterval is the time between two reads of the targets from the platform's
	// store by an entry that leads a pool. Other entries need the list only to lead one
	// later: they read it at an interval that grows by targetIntervalPerTarget for each
	// target, up to maxTargetInterval.
	minTargetInterval       = 700 * time.Millisecond
	targetIntervalPerTarget = 11 * time.Millisecond
	maxTargetInterval       = 6 * time.Second
	// wantedTargetInterval replaces them while a pool waits for a list that is newer.
	wantedTargetInterval = 100 * time.Millisecond
	// listGrace is how long a new leader waits for a list of targets that shows which ones
	// are leaving, before it starts tasks. A read of the store takes some ms.
	listGrace = 300 * time.Millisecond
	// startGrace is how long a new entry waits for the store, or for a peer that reads it,
	// before it takes the directory of a peer that has not read the store for staleStoreAge.
	startGrace    = 600 * time.Millisecond
	staleStoreAge = maxTargetInterval + freshStoreAge
	// requestInterval is the minimum time between two requests for a directory, and
	// requestTimeout how long the answer of one peer is awaited before another is asked.
	requestInterval = 100 * time.Millisecond
	requestTimeout  = 300 * time.Millisecond
	// configGrace is how long a newer configuration at a peer may be on its way from the
	// platform's store to this entry before it is requested from the peer.
	configGrace = 250 * time.Millisecond
	// memberRequestInterval is the time between two requests for the members that a peer
	// knows, while the platform's list is out of reach.
	memberRequestInterval = 2 * time.Second
	// minorityAcquireDelay is how long a leader with a minority of the entries waits
	// before it acquires targets whose home entry it can't reach.
	minorityAcquireDelay = 1500 * time.Millisecond
)

// directory is a node's knowledge of the deployment, with its age. It belongs to the
// node's loop.
type directory struct {
	self      string
	targets   []fleet.Target
	targetsAt time.Duration // when the list was current at the platform, as far as is known
	// targetsReadAt is when the list was read from the platform, or a time before that.
	targetsReadAt time.Duration
	// targetsWanted is the time for which a pool wants a list: one read then, or later.
	targetsWanted time.Duration
	hasList       bool
	members       map[string]fleet.Member // known entries by name
	live          []string                // members that renewed their row in the platform's store lately
	liveAt        time.Duration           // when live was received
	// behindSince is when a heartbeat first showed a configuration newer than the one in
	// force, 0 if none did.
	behindSince time.Duration
	requestedAt time.Duration // when a directory was last requested
	requestedOf string        // the peer that was asked, "" once it has answered
	// targetInterval is the time between two reads of the targets beyond minTargetInterval.
	targetInterval time.Duration
	oddLoggedAt    time.Duration // when odd items in a peer's directory were last logged
	// configTold is set while the configuration in force was told by a peer.
	configTold bool
	// membersAskedAt is when a peer was last asked for the members that it knows.
	membersAskedAt time.Duration
}

// directoryBody is the body of wire.Directory and of the response at directoryPath. To
// peers, an entry sends Config and the targets on request only.
type directoryBody struct {
	Self       fleet.Member   `cbor:"1,keyasint"`
	Config     *fleet.Config  `cbor:"2,keyasint,omitempty"`
	Targets    []fleet.Target `cbor:"3,keyasint,omitempty"`
	HasTargets bool           `cbor:"4,keyasint,omitempty"`
	TargetsAge time.Duration  `cbor:"5,keyasint,omitempty"`
	Members    []fleet.Member `cbor:"6,keyasint,omitempty"`
	// Layout is nil while the sender does not know it.
	Layout *fleet.Layout `cbor:"7,keyasint,omitempty"`
	// Request asks the receiver for parts of its directory.
	Request *directoryRequest `cbor:"8,keyasint,omitempty"`
	// Greeting marks the first message on a link.
	Greeting bool `cbor:"9,keyasint,omitempty"`
	// Rooms are those that targets ever had, as known to the sender for RoomsKnownFor. They
	// come with the first message on a link.
	Rooms         []fleet.Room  `cbor:"10,keyasint,omitempty"`
	RoomsKnownFor time.Duration `cbor:"11,keyasint,omitempty"`
	// AskedAt is the SentAt of the request that this body answers.
	AskedAt time.Duration `cbor:"12,keyasint,omitempty"`
	// TakesHomeNotes is set in greetings if the sender reads wire.PoolHome, as earlier releases do not.
	TakesHomeNotes bool `cbor:"13,keyasint,omitempty"`
	// TakesLeftJobs is set in greetings if the sender answers questions about jobs that have left its pools.
	TakesLeftJobs bool `cbor:"14,keyasint,omitempty"`
	// Evacuated comes with a configuration: it is nil while the sender does not know the set.
	Evacuated *evacuation.Set `cbor:"15,keyasint,omitempty"`
}

func newDirectory() directory {
	return directory{members: make(map[string]fleet.Member)}
}

// unknownAge is the age reported for data that was never read.
const unknownAge = time.Hour

// targetsAge returns the age of the list of targets.
func (d *directory) targetsAge(now time.Duration) time.Duration {
	if !d.hasList {
		return unknownAge
	}
	return now - d.targetsAt
}

// directoryRequest names the parts of a directory that an entry lacks.
type directoryRequest struct {
	Config  bool `cbor:"1,keyasint,omitempty"`
	Targets bool `cbor:"2,keyasint,omitempty"`
	Layout  bool `cbor:"3,keyasint,omitempty"`
	Members bool `cbor:"4,keyasint,omitempty"`
	// SentAt is when the request was sent, by the clock of its sender. The answer repeats it.
	SentAt time.Duration `cbor:"5,keyasint,omitempty"`
}

// requestFrom returns what to request from a peer now, after its heartbeat: a newer
// configuration, and a list of targets if this entry's is too old and the peer's clearly
// newer. It records the request.
func (d *directory) requestFrom(now time.Duration, peer string, b heartbeatBody, config int64, layout uint64) (directoryRequest, bool) {
	want := directoryRequest{Layout: b.LayoutVersion > layout}
	// What a new entry gets from the store or from a peer that reads it is newer than what
	// a peer has that does not. The latter may have dropped queues and targets that left.
	trusted := now > startGrace || b.StoreAge < staleStoreAge
	if b.ConfigVersion > config && (config > 0 || trusted) {
		if d.behindSince == 0 {
			d.behindSince = now
		}
		want.Config = config == 0 || now >= d.behindSince+configGrace
	}
	if (d.membersOld(now) || d.lacksLeader(&b)) && now >= d.membersAskedAt+memberRequestInterval {
		want.Members = true
	}
	want.Targets = (d.hasList || trusted) && d.targetsAge(now) > d.targetInterval+maxTargetListAge && b.TargetsAge+maxTargetListAge/2 < d.targetsAge(now)
	wait := requestInterval
	if d.requestedOf != "" {
		wait = requestTimeout
	}
	if want == (directoryRequest{}) || d.requestedAt > 0 && now < d.requestedAt+wait {
		return want, false
	}
	d.requestedAt, d.requestedOf = now, peer
	if want.Members {
		d.membersAskedAt = now
	}
	return want, true
}

// SetConfig puts a configuration of the platform's store in force, unless the one in force has a
// higher version, or was read from the store with the same one.
func (n *Node) SetConfig(c *fleet.Config) {
	n.post(func(time.Duration) { n.setConfig(c, "platform", false) })
}

// setConfig puts a newer configuration in force. Peers that lack it learn of it from the
// heartbeats and request it. One that a peer has told may lack what the peer's release
// does not know, so the store's own with that version replaces it.
func (n *Node) setConfig(c *fleet.Config, source string, told bool) {
	cur := n.config.Load()
	if cur != nil && (cur.Version > c.Version || cur.Version == c.Version && (told || !n.directory.configTold)) {
		return
	}
	n.config.Store(c)
	n.directory.configTold = told
	n.directory.behindSince = 0
	n.log.Info("config", "version", c.Version, "queues", len(c.Queues), "source", source)
}

// SetTargets replaces the list of targets by one that was current at the given
// time. An older list than the present one is ignored.
func (n *Node) SetTargets(list []fleet.Target, at time.Time) {
	n.post(func(now time.Duration) {
		n.stored.storeReadAt = max(n.stored.storeReadAt, n.clock.of(at))
		n.setTargets(now, list, n.clock.of(at), n.clock.of(at))
	})
}

// ObserveRenewals records the versions of the targets' rows, by ID, that a read of the platform's list shows which was sent
// at the given time, 0 for rows that can't be used. Targets renew their rows while they run.
func (n *Node) ObserveRenewals(versions map[string]uint64, at time.Time) {
	n.post(func(time.Duration) {
		for _, s := range n.shards {
			s.pool.ObserveRenewals(n.clock.of(at), versions)
		}
	})
}

// dcOf returns the data centre of an entry, "" if it is not known.
func (n *Node) dcOf(entry string) string {
	if entry == n.cfg.Self.Name {
		return n.cfg.Self.DC
	}
	return n.directory.members[entry].DC
}

// setTargets replaces the list of targets by one that was current at a time, as far as is known, and was
// read no sooner than readAt.
func (n *Node) setTargets(now time.Duration, list []fleet.Target, at, readAt time.Duration) {
	if n.directory.hasList && at < n.directory.targetsAt {
		return
	}
	n.directory.targets, n.directory.targetsAt, n.directory.targetsReadAt, n.directory.hasList = list, at, readAt, true
	n.setPoolTargets(now)
	n.updateTargetInterval()
	if n.directory.targetsAge(now) <= maxTargetListAge {
		for _, s := range n.shards {
			s.pool.TargetsCurrent()
		}
	}
}

// updateTargetInterval decides how often the targets are read from the platform's store,
// and hurries the next read if that is due earlier now.
func (n *Node) updateTargetInterval() {
	interval := minTargetInterval
	if n.leads() == 0 && !n.stored.expected {
		interval = min(max(time.Duration(len(n.directory.targets))*targetIntervalPerTarget, minTargetInterval), maxTargetInterval)
	}
	n.directory.targetInterval = interval - minTargetInterval
	if n.directory.targetsReadAt < n.directory.targetsWanted {
		interval = wantedTargetInterval
	}
	if before := time.Duration(n.targetInterval.Swap(int64(interval))); interval < before {
		select {
		case n.targetsDue <- struct{}{}:
		default:
		}
	}
}

// TargetInterval returns the time between two reads of the targets from the platform's
// store.
func (n *Node) TargetInterval() time.Duration { return time.Duration(n.targetInterval.Load()) }

// TargetsDue receives when TargetInterval has become shorter.
func (n *Node) TargetsDue() <-chan struct{} { return n.targetsDue }

// SetMembers replaces the members that the platform lists. The live ones have
// renewed their row lately.
func (n *Node) SetMembers(list []fleet.Member, live []string) {
	n.post(func(now time.Duration) {
		for name := range n.directory.members {
			if !n.linked[name] { // a linked peer is alive, whatever the store lists
				delete(n.directory.members, name)
			}
		}
		for _, m := range list {
			n.directory.members[m.Name] = m
		}
		n.directory.live, n.directory.liveAt = live, now
		n.linkPlan.nextAt = now
		n.roster.list(now, list, n.directory.members)
		n.roster.setLive(live)
		n.dropReplaced()
	})
}

// directorySnapshot returns the body of a directory message.
func (n *Node) directorySnapshot(now time.Duration) directoryBody {
	b := directoryBody{
		Self: n.cfg.Self, Config: n.config.Load(),
		Targets: n.directory.targets, HasTargets: n.directory.hasList, TargetsAge: n.directory.targetsAge(now),
		Evacuated: n.evacuation.state.Set(),
	}
	if n.layoutKnown {
		l := n.layout
		b.Layout = &l
	}
	for _, m := range n.directory.members {
		b.Members = append(b.Members, m)
	}
	return b
}

// handleDirectory handles a peer's directory, and sends what the peer requests.
func (n *Node) handleDirectory(now time.Duration, from string, b directoryBody) {
	if b.Greeting {
		n.greeted(now, from)
	}
	if b.TakesLeftJobs {
		n.takesLeftJobs[from] = true
	}
	if b.TakesHomeNotes && !n.takesHomeNotes[from] {
		n.takesHomeNotes[from] = true
		n.repeatHomeNotesTo(now, from)
	}
	n.mergeDirectory(now, b)
	if b.Request == nil {
		return
	}
	reply := n.directorySnapshot(now)
	reply.AskedAt = b.Request.SentAt
	if !b.Request.Config {
		reply.Config = nil
	}
	if !b.Request.Targets {
		reply.Targets, reply.HasTargets, reply.TargetsAge = nil, false, 0
	}
	if !b.Request.Members {
		reply.Members = nil
	}
	n.send(from, wire.Directory, reply)
}

// mergeDirectory adds another entry's directory to this entry's: a newer
// configuration, a newer list of targets, and members that were not known.
func (n *Node) mergeDirectory(now time.Duration, b directoryBody) {
	b = n.withoutOdd(now, b)
	asked := n.directory.askedAt(now, &b)
	if b.Self.Name == n.directory.requestedOf && (b.Config != nil || b.HasTargets || b.Layout != nil) {
		n.directory.requestedOf = ""
	}
	n.mergeEvacuated(now, b.Evacuated, b.Self.Name)
	if b.Config != nil {
		n.setConfig(b.Config, "peer "+b.Self.Name, true)
	}
	if b.Layout != nil {
		n.setLayout(now, *b.Layout)
	}
	if b.HasTargets {
		sent := asked
		if asked == 0 {
			sent = now
		}
		n.setTargets(now, b.Targets, sent-b.TargetsAge, asked-b.TargetsAge)
	}
	n.rooms.Merge(now, b.Rooms, b.RoomsKnownFor)
	added := false
	for _, m := range append(b.Members, b.Self) {
		if _, known := n.directory.members[m.Name]; !known && m.Validate() == nil {
			n.directory.members[m.Name] = m
			n.roster.see(now, m.Name)
			added = true
		}
	}
	if added {
		n.linkPlan.nextAt = now
	}
	if added || b.Greeting {
		n.dropReplaced()
	}
}

// askedAt returns when this entry sent the request that a peer's directory answers, 0 if it is not known: the
// directory was sent after that, and may have waited for this entry for any time since.
func (d *directory) askedAt(now time.Duration, b *directoryBody) time.Duration {
	switch {
	case b.AskedAt > 0:
		return min(b.AskedAt, now)
	case b.Self.Name == d.requestedOf: // an entry of a release that does not repeat the time
		return d.requestedAt
	}
	return 0
}

// presumedLive returns the members that are presumed to be alive: this entry, the
// linked peers, and those that are live by the platform's store, or all known
// members if the store's list is older than maxLiveListAge.
func (n *Node) presumedLive(now time.Duration) map[string]bool {
	live := maps.Clone(n.linked)
	live[n.cfg.Self.Name] = true
	if !n.directory.membersOld(now) {
		for _, name := range n.directory.live {
			if _, known := n.directory.members[name]; known {
				live[name] = true
			}
		}
		return live
	}
	for name := range n.directory.members {
		live[name] = true
	}
	return live
}

// membersOld reports whether the platform's list of members was not read lately.
func (d *directory) membersOld(now time.Duration) bool {
	return d.liveAt == 0 || now >= d.liveAt+maxLiveListAge
}

// maxLiveListAge is the age above which the platform's list of live members is not
// used.
const maxLiveListAge = 5 * time.Second
