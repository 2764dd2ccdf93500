package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// A job that goes to its home pool needs no claim, so most jobs should go there.
func TestHomeIsThePoolThatIsChosenAtEqualCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := make([]poolView, rapid.IntRange(1, 40).Draw(t, "pools"))
		capacity := rapid.Int64Range(1, 1<<40).Draw(t, "capacity")
		for i := range pools {
			pools[i] = poolView{led: true, capacity: capacity}
		}
		job := rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")
		assert.Equal(t, homePool(job, len(pools)), choosePool(job, pools, nil))
	})
}

func TestFewJobsLeaveTheirHomeAtSimilarCapacities(t *testing.T) {
	const jobs = 20000
	for _, c := range []struct {
		pools   int
		percent int64 // how far the capacities differ
		most    int   // jobs in a thousand
	}{{2, 20, 60}, {6, 20, 60}, {24, 20, 60}, {6, 50, 100}} {
		pools := make([]poolView, c.pools)
		for i := range pools {
			pools[i] = poolView{led: true, capacity: 1000 + 10*c.percent*int64(i)/int64(c.pools-1)}
		}
		away := 0
		for i := range jobs {
			if job := fmt.Sprintf("%016x", i*7919); homePool(job, c.pools) != choosePool(job, pools, nil) {
				away++
			}
		}
		t.Logf("%d pools, capacities up to %d%% higher: %d of %d jobs leave their home", c.pools, c.percent, away, jobs)
		assert.Assert(t, away*1000 <= c.most*jobs, "%d of %d", away, jobs)
	}
}

// hasClaimed reports whether an entry has claimed a pending job at its home.
func (n *Node) hasClaimed(id string) bool {
	return n.ask(func() int {
		if p := n.pending[id]; p != nil && p.home.claimed {
			return 1
		}
		return 0
	}) == 1
}

func TestDeploymentWithOnePoolClaimsNothing(t *testing.T) {
	n, targets := startNode(t)
	go func() { _, _ = n.Submit(t.Context(), callerJob("a", time.Hour), Caller{}) }()
	for targets.started() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !n.hasClaimed("a"))
}

// Most jobs go to their home, and must not wait for anybody.
func TestJobThatGoesToItsHomeIsNotClaimed(t *testing.T) {
	d := startManyPools(t, 2)
	d.setCapacities([]int64{1000, 1000})
	job := preferring(1, 2)
	d.awaitChoice(d.nodes[0], job, 1)
	d.submit(d.nodes[0], job)
	d.eventually("the job runs", func() bool { return d.busy.startsOn(targetOf(1)) > 0 })
	assert.Assert(t, !d.nodes[0].hasClaimed(job))
}

// The leader of a job's home is about to be lost, or is of a release that knows no claims.
func TestJobWhoseHomeDoesNotAnswerGoesOn(t *testing.T) {
	for _, knowsClaims := range []bool{true, false} {
		n, _ := startNode(t)
		(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
		if knowsClaims {
			receive(t, n, wire.Directory, directoryBody{Greeting: true, TakesHomeNotes: true})
		}
		n.SetLayout(fleet.Layout{Version: 1, Targets: 2, Pools: []fleet.Scope{{}, {}}})
		job := patientJob(preferring(1, 2))
		n.ask(func() int {
			now := n.now()
			p := &pendingJob{job: job, pool: -1, arrived: now, waiters: []waiter{{done: make(chan fleet.Outcome, 1)}}}
			n.pending[job.ID] = p
			home := n.shards[1]
			home.decision.Leader, home.decision.Leading = "other", false
			p.home.claimed, p.home.awaited = knowsClaims, map[bool]string{true: "other"}[knowsClaims]
			assert.Check(t, n.clearedByHome(now, n.shards[0], p))
			n.handleHome(now, "other", homeBody{Kind: homeAnswer, Job: job.ID, For: time.Hour})
			assert.Check(t, p.home.cleared, "a late answer takes nothing back")
			return 0
		})
	}
}

// A leader told of earlier runs and was lost. The next one, which knew nothing of them, cleared the job.
func TestOnlyTheLeaderThatToldOfRunsTellsThatTheyAreOverSooner(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now, p := n.now(), &pendingJob{job: patientJob("a"), pool: -1}
		n.homeAnswered(now, p, "e1", 10*time.Second)
		n.homeAnswered(now, p, "e2", 0)
		assert.Check(t, !p.home.cleared)
		assert.Check(t, p.mayHaveRun)
		n.homeAnswered(now, p, "e2", 0)
		assert.Check(t, p.home.cleared, "e2 has told of the runs since")
		return 0
	})
}

// The leader of a job's home was lost, with the note that the job is in another pool.
func TestNewLeaderOfAHomeIsToldOfTheJobsInOtherPools(t *testing.T) {
	const few, many = 1000, 1000 * 1000
	d := startManyPools(t, 2)
	job := preferring(0, 2)
	d.setCapacities([]int64{0, many})
	first, second := d.nodes[0], d.nodes[1] // the first one leads the home
	d.awaitChoice(first, job, 1)
	d.submit(first, job)
	d.eventually("the job runs in the other pool", func() bool { return d.busy.startsOn(targetOf(1)) > 0 })
	first.ask(func() int {
		now, s := first.now(), first.shards[0]
		s.pool.StepDown()
		s.decision.Leading, s.decision.Leader = false, ""
		first.applyElection(now, s)
		return 0
	})
	d.setCapacities([]int64{many * many, few})
	d.awaitChoice(second, job, 0)
	d.submit(second, job)
	d.eventually("the job runs in its home", func() bool { return d.busy.startsOn(targetOf(0)) > 0 })
	d.busy.mu.Lock()
	defer d.busy.mu.Unlock()
	assert.Equal(t, len(d.busy.overlaps), 0, "%v", d.busy.overlaps)
}

// An entry was replaced. Its next life does not know the job, whose runs are over soon, but not before
// the permission of the former life has ended.
func TestJobDoesNotWaitForItsDeadlineOnceItsFirstEntryHasBeenReplaced(t *testing.T) {
	d := startManyPools(t, 2)
	d.setCapacities([]int64{1000, 1000})
	job := preferring(1, 2)
	d.awaitChoice(d.nodes[1], job, 1)
	d.nodes[0].ask(func() int {
		n := d.nodes[0]
		n.tellHome(n.now(), n.shards[1], &pendingJob{job: patientJob(job)}, homeNote, time.Minute)
		return 0
	})
	d.eventually("the note has arrived", func() bool {
		return d.nodes[1].ask(func() int { return d.nodes[1].shards[1].pool.JobsElsewhere() }) == 1
	})
	began := time.Now()
	d.submit(d.nodes[1], job)
	d.eventually("the job runs", func() bool { return d.busy.startsOn(targetOf(1)) > 0 })
	assert.Assert(t, time.Since(began) > time.Second)
}

// A job that its pool had shed after a while was rejected as leaderless while its home was asked.
func TestJobThatWaitsForItsHomeIsNotLeaderless(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now := n.now()
		p := &pendingJob{job: patientJob("a"), arrived: now - 2*leaderlessTimeout, retryAt: never}
		p.home.awaited = "other"
		n.pending["a"] = p
		n.rejectLeaderless(now)
		assert.Check(t, n.pending["a"] == p)
		p.home.awaited = ""
		n.rejectLeaderless(now)
		assert.Check(t, n.pending["a"] == nil)
		return 0
	})
}

// A job that one pool has rejected was submitted to another one, where nobody knew of it.
func TestJobThatMovesToAnotherPoolIsClaimed(t *testing.T) {
	d := startManyPools(t, 2)
	d.setCapacities([]int64{50, 60 * 1000}) // the job needs 100
	job := ""
	for i := 0; job == ""; i++ {
		id := fmt.Sprintf("%016x", i)
		if choosePool(id, []poolView{{led: true, capacity: 50}, {led: true, capacity: 60 * 1000}}, nil) == 0 {
			job = id
		}
	}
	d.awaitChoice(d.nodes[1], job, 0)
	d.submit(d.nodes[1], job)
	d.eventually("the job runs", func() bool { return d.busy.startsOn(targetOf(1)) > 0 })
	assert.Assert(t, d.nodes[1].hasClaimed(job))
}

// A caller that has left is back soon. Its job must not wait for its former deadline.
func TestHomeIsToldThatAnEntryHasGivenAJobUp(t *testing.T) {
	d := startManyPools(t, 2)
	d.setCapacities([]int64{1000 * 1000, 0})
	job := preferring(1, 2)
	d.awaitChoice(d.nodes[0], job, 0)
	d.submit(d.nodes[0], job)
	home := d.nodes[1]
	elsewhere := func() int { return home.ask(func() int { return home.shards[1].pool.JobsElsewhere() }) }
	d.eventually("the job runs in the other pool", func() bool { return d.busy.startsOn(targetOf(0)) > 0 && elsewhere() == 1 })
	d.cancels[0]()
	d.eventually("the note is forgotten", func() bool { return elsewhere() == 0 })
}
