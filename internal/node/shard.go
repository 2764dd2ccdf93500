package node

import (
	"math/rand/v2"
	"time"

	"currantstall/internal/election"
	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
	"currantstall/internal/speed"
)

// shard is this entry's part in one pool of the layout: its view of the pool's leader,
// and the pool itself, which is active while this entry leads.
type shard struct {
	index    int
	scope    fleet.Scope
	targets  []fleet.Target // of the pool, as listed
	pool     *pool.Pool
	election *election.Election
	decision election.Decision
	reports  map[string]poolReport // the last one of each linked peer
	takeover takeover
}

// poolReport is what an entry reports about one pool in its heartbeat.
type poolReport struct {
	Claim election.Claim `cbor:"1,keyasint"`
	// Capacity is the capacity that the entry owns, and Spare what neither runs nor
	// waiting jobs need of it, in thousandths of a core. Only a leader sends them.
	Capacity int64 `cbor:"2,keyasint,omitempty"`
	Spare    int64 `cbor:"3,keyasint,omitempty"`
	// Speeds is what the leader knows of slow targets. It is sent at intervals of speedsInterval.
	Speeds speed.Notes `cbor:"4,keyasint,omitempty"`
}

// speedsInterval is the time between two heartbeats with Speeds: at most 48 targets of a pool, some 550 bytes.
const speedsInterval = 2 * time.Second

// newShards returns the shards of a layout.
func (n *Node) newShards(l fleet.Layout, now time.Duration) []*shard {
	shards := make([]*shard, len(l.Pools))
	settings := pool.DefaultSettings()
	settings.RowsRenewed, settings.ColdStart, settings.Memory = n.cfg.RowsRenewed, n.cfg.ColdStart, n.memory
	for i, scope := range l.Pools {
		p := pool.New(settings, func(event string, args ...any) { n.logDecision(event, append(args, "pool", i)...) })
		p.ShareRooms(n.rooms)
		shards[i] = &shard{
			index: i, scope: scope, pool: p, reports: make(map[string]poolReport), takeover: takeover{leaderlessSince: now},
			election: election.New(election.Settings{
				ListenPeriod: election.DefaultListenPeriod, RankDelay: election.DefaultRankDelay, Pool: i, DC: scope.DC,
			}, n.cfg.Self.Name, n.joined, now),
		}
	}
	return shards
}

// storedPool returns the pool that runs the stored jobs, and storedLeader its leader.
func (n *Node) storedPool() *pool.Pool { return n.shards[0].pool }

func (n *Node) storedLeader() string { return n.shards[0].decision.Leader }

// leads returns the number of pools that this entry leads.
func (n *Node) leads() int {
	count := 0
	for _, s := range n.shards {
		if s.decision.Leading {
			count++
		}
	}
	return count
}

// entryState describes this entry for the elections.
func (n *Node) entryState(now time.Duration) election.Entry {
	return election.Entry{
		Joined: n.joined, Stopping: n.stopping.Load(), Degraded: n.lag.degraded() || n.storeDegraded(now) || n.quarantined(now),
		MilliCPU: n.cfg.MilliCPU, Leads: n.leads(), DC: n.cfg.Self.DC,
	}
}

// applyElections decides who leads each pool.
func (n *Node) applyElections(now time.Duration) {
	if !n.layoutKnown {
		return
	}
	n.extendListenPeriod(now)
	for _, s := range n.shards {
		n.applyElection(now, s)
	}
	n.updateTargetInterval()
}

// maxListenPeriod is how long a new entry that knows or is linked to few other entries
// waits for the others before it may lead.
const maxListenPeriod = 1200 * time.Millisecond

// extendListenPeriod keeps a new entry from leading while it has heard from a minority of
// the members that it is to link to: one of them may lead, or suit better.
func (n *Node) extendListenPeriod(now time.Duration) {
	if !listensOn(now, n.directory.liveAt > 0, n.shards[0].election.PeerCount(), len(n.linkPlan.wantedAt)) {
		return
	}
	for _, s := range n.shards {
		s.election.DelayLead(now + tickInterval)
	}
}

// listensOn reports whether a new entry keeps listening: it has not read the members yet, or
// has heard from a minority of those that it is to link to.
func listensOn(sinceStart time.Duration, membersKnown bool, heard, planned int) bool {
	return sinceStart < maxListenPeriod && (!membersKnown || 2*(heard+1) <= planned)
}

// applyElection makes this entry lead a pool, step down or follow another leader, as the
// election decides.
func (n *Node) applyElection(now time.Duration, s *shard) {
	owned := s.pool.Owned()
	s.election.SetOwned(owned)
	s.election.SetEntry(n.entryState(now))
	d := s.election.Decide(now)
	n.noteTakeover(now, s, d, owned)
	if d.Leading != s.pool.Leading() {
		if d.Leading {
			n.updateAcquirePolicy(now, s)
			s.pool.BecomeLeader(now, fenceBase())
			if n.directory.targetsAge(now) > maxTargetListAge {
				s.pool.AwaitTargets(now + listGrace)
			}
			if n.cfg.ReadsEvacuated && !n.evacuation.state.Known() {
				n.log.Info("leads a pool before it knows which data centres are evacuated; no task starts yet", "pool", s.index, "for_ms", evacuationGrace.Milliseconds())
				s.pool.DelayStarts(now + evacuationGrace)
			}
			if s.index == 0 {
				n.startOwner()
			}
		} else {
			if s.index == 0 {
				n.stopOwner()
			}
			s.pool.StepDown()
		}
	}
	if d != s.decision {
		n.log.Info("leader", "pool", s.index, "leader", d.Leader, "lead", d.Leading, "term", d.Term, "before", s.decision.Leader, "peers", s.election.PeerCount())
		before := s.decision
		s.decision = d
		if d.Leader != before.Leader {
			n.reclaimFromLeader(now, before.Leader, s)
			n.repeatHomeNotes(now, s)
		}
		if d.Leader != before.Leader || d.Leading != before.Leading {
			n.tellOfOpenRuns(now, s)
		}
	}
}

// fenceBase returns a fencing token above those of earlier owners. It consists of the
// wall clock and of random bits that distinguish this owner from others at the same
// time. If the wall clock has jumped back, the pool probes for a higher token.
func fenceBase() uint64 {
	const ownerBits = 12
	return uint64(time.Now().UnixMilli())<<ownerBits | rand.Uint64N(1<<ownerBits)
}

// setPoolTargets passes the list of targets to the pools.
func (n *Node) setPoolTargets(now time.Duration) {
	lists := make([][]fleet.Target, len(n.shards))
	for i := range n.directory.targets {
		t := &n.directory.targets[i]
		at := n.layout.PoolOf(t)
		lists[at] = append(lists[at], *t)
	}
	n.setIntakes(now, lists)
	for i, s := range n.shards {
		s.targets = lists[i]
		s.pool.SetTargets(now, lists[i])
		s.pool.TargetsRead(n.directory.targetsReadAt)
	}
	n.updateAcquirePolicies(now)
}

// carryOut carries out the effects that a pool has queued.
func (n *Node) carryOut(now time.Duration, s *shard) {
	for _, e := range s.pool.Effects() {
		switch e := e.(type) {
		case fleet.Start:
			n.sendStart(now, s, e)
		case fleet.Stop:
			go n.stop(s, e)
		case fleet.Hold:
			go n.hold(now, s, e)
		case fleet.AdviceRequest:
			go n.advise(s, e)
		case pool.Ended:
			n.deliverOutcome(now, e)
		case pool.TargetsWanted:
			n.directory.targetsWanted = e.ReadAt
			n.updateTargetInterval()
		case pool.VouchRequest:
			n.requestVouch(now, e)
		case pool.CallerReturned:
			n.tellReturned(now, s, e)
		case pool.Suspected:
			n.tellSuspicions(e)
		case jobstore.Save:
			if n.stored.owner != nil {
				n.stored.owner.Save(e)
			}
		case pool.RecallStored:
			n.recallStored(e.From)
		case pool.StoredDropped:
			if n.stored.owner != nil {
				n.stored.owner.JobsDropped(e.Epoch)
			}
		}
	}
}
