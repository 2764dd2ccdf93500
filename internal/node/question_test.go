package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// setStill makes the process of a target stand still, or go on.
func (f *busyTargets) setStill(id string, still bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target(id).still = still
}

// runsOf returns the targets on which a job has runs.
func (f *busyTargets) runsOf(job string) (on []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		for task := range f.target(id).runs {
			if task.Job == job {
				on = append(on, id)
			}
		}
	}
	return on
}

func (f *busyTargets) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ofJob[job]
}

// setTargets lists targets by their pool. Those that stand still add no capacity.
func (d *manyPools) setTargets(pools map[string]int) {
	var list []fleet.Target
	capacities := make(map[int]int64)
	for id, at := range pools {
		list = append(list, fleet.Target{ID: id, Service: "s", DC: dcName(at), Capacity: structs.Resources{MilliCPU: 1000}})
		d.busy.mu.Lock()
		if !d.busy.target(id).still {
			capacities[at] += 1000
		}
		d.busy.mu.Unlock()
	}
	for _, n := range d.nodes {
		n.SetTargets(list, time.Now())
	}
	for _, n := range d.nodes {
		d.eventually("an entry knows all capacities", func() bool {
			return n.ask(func() int {
				known := 0
				for i, v := range n.poolViews() {
					if v.led && v.capacity == capacities[i] {
						known++
					}
				}
				return known
			}) == len(n.shards)
		})
	}
}

const attemptTimeout = 1500 * time.Millisecond

// attempt submits a job of a caller that waits for attemptTimeout, and returns the verdict.
func (d *manyPools) attempt(n *Node, job string) verdict.Verdict {
	ctx, cancel := context.WithTimeout(d.t.Context(), attemptTimeout+time.Second)
	defer cancel()
	began := time.Now()
	o, err := n.Submit(ctx, callerJob(job, attemptTimeout), Caller{})
	assert.NilError(d.t, err, "%s answers nothing within %v", n.cfg.Self.Name, time.Since(began))
	d.note("%s answers %s after %v: %v %s", n.cfg.Self.Name, job, time.Since(began), o.Verdict, o.Reason)
	return o.Verdict
}

// loseLeader ends the process of the entry that leads a pool, and waits until the others follow another one, and its capacity.
func (d *manyPools) loseLeader(at int, capacity int64) {
	lost := d.nodes[at]
	d.nodes = append(d.nodes[:at:at], d.nodes[at+1:]...)
	lost.Close()
	for _, n := range d.nodes {
		d.eventually("the pool has another leader", func() bool {
			return n.ask(func() int {
				v := n.poolViews()[at]
				if leader := n.shards[at].decision.Leader; leader == "" || leader == lost.cfg.Self.Name || v.capacity != capacity {
					return 0
				}
				return 1
			}) == 1
		})
	}
}

// standStill makes the target stand still on which a job runs, and returns it.
func (d *manyPools) standStill(job string) string {
	var on []string
	d.eventually("the job runs", func() bool { on = d.busy.runsOf(job); return len(on) == 1 })
	d.busy.setStill(on[0], true)
	return on[0]
}

func (d *manyPools) noOverlaps() {
	d.t.Helper()
	d.busy.mu.Lock()
	defer d.busy.mu.Unlock()
	assert.Equal(d.t, len(d.busy.overlaps), 0, "%v, %v", d.busy.overlaps, d.notes)
}

// callerPause is how long a caller whose job may have run waits before it submits the job again.
const callerPause = 1300 * time.Millisecond

// Guards against a second run at the next leader of a pool, which knows nothing of a run on a target that stands still.
func TestJobThatComesAgainAtTheNextLeaderWaitsForItsOpenRun(t *testing.T) {
	for _, again := range []int{0, 1} { // the entry of the first attempt, or another one
		t.Run(fmt.Sprint("at entry ", again), func(t *testing.T) {
			t.Parallel()
			d := startManyPools(t, 3)
			d.setTargets(map[string]int{"a": 0, "b": 0, "c": 0})
			job := preferring(0, 3)
			first := make(chan verdict.Verdict, 1)
			n := d.nodes[1]
			go func() { first <- d.attempt(n, job) }()
			still := d.standStill(job)
			assert.Equal(t, <-first, verdict.MayHaveRun)
			ended := time.Now()
			d.loseLeader(0, 2000) // of those that answer
			time.Sleep(time.Until(ended.Add(callerPause)))
			for range 2 {
				assert.Equal(t, d.attempt(d.nodes[again], job), verdict.MayHaveRun)
			}
			d.noOverlaps()
			assert.Equal(t, d.busy.startsOf(job), 1)

			d.busy.setStill(still, false)
			d.submit(d.nodes[again], job)
			d.eventually("the job runs again", func() bool { return d.busy.startsOf(job) == 2 })
			d.noOverlaps()
			d.eventually("no question is open", func() bool {
				return d.nodes[0].ask(func() int { return len(d.nodes[0].questions.byJob) }) == 0
			})
		})
	}
}

// Guards against a second run in another pool, whose leader knows nothing of a run on a target that stands still. The
// job's home is the pool of the first attempt, that of the second one, or a third one, whose leader is lost meanwhile or not.
func TestJobThatComesAgainAtAnotherPoolWaitsForItsOpenRun(t *testing.T) {
	for _, c := range []struct {
		home, again int // the second entry: that of the first attempt, 1, or another one
		lose        int // the entry that is lost, 0 if none is
	}{{home: 0, again: 1}, {home: 0, again: 2}, {home: 1, again: 1}, {home: 1, again: 2}, {home: 2, again: 1}, {home: 2, again: 2}, {home: 2, again: 1, lose: 2}, {home: 2, again: 0, lose: 2}} {
		t.Run(fmt.Sprintf("home %d, again at entry %d, loss of %d", c.home, c.again, c.lose), func(t *testing.T) {
			t.Parallel()
			d := startManyPools(t, 3)
			d.setTargets(map[string]int{"a": 0})
			job := preferring(c.home, 3)
			first, again := d.nodes[1], d.nodes[c.again]
			d.awaitChoice(first, job, 0)
			answer := make(chan verdict.Verdict, 1)
			go func() { answer <- d.attempt(first, job) }()
			still := d.standStill(job)
			assert.Equal(t, <-answer, verdict.MayHaveRun)
			ended := time.Now()
			d.setTargets(map[string]int{"a": 0, "b": 1, "c": 1})
			if c.lose > 0 {
				d.loseLeader(c.lose, 0)
			}
			d.awaitChoice(again, job, 1)
			time.Sleep(time.Until(ended.Add(callerPause)))
			for range 2 {
				assert.Equal(t, d.attempt(again, job), verdict.MayHaveRun)
			}
			d.noOverlaps()
			assert.Equal(t, d.busy.startsOf(job), 1)

			d.busy.setStill(still, false)
			d.submit(again, job)
			d.eventually("the job runs again", func() bool { return d.busy.startsOf(job) == 2 })
			d.noOverlaps()
		})
	}
}

// leave gives up a pending job that another leader has had.
func (n *Node) leave(now time.Duration, job string) {
	n.keepQuestion(now, &pendingJob{job: patientJob(job), arrived: now, sentTo: "other", pool: 0})
}

// Guards against an answer that is late and belongs to an earlier attempt.
func TestAnswerToAnEarlierQuestionClosesNoLaterOne(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now := n.now()
		n.leave(now, "a")
		before := n.questions.of("a").number
		n.leave(now, "a")
		n.questionsAnswered(now, "other", []leftJob{{Job: "a", Number: before}, {Job: "unknown", Number: before}})
		assert.Check(t, n.questions.of("a") != nil)
		n.questionsAnswered(now, "other", []leftJob{{Job: "a", Number: n.questions.of("a").number, Open: true}})
		assert.Check(t, n.questions.of("a") != nil)
		n.questionsAnswered(now, "other", []leftJob{{Job: "a", Number: n.questions.of("a").number}})
		assert.Check(t, n.questions.of("a") == nil)
		return 0
	})
}

// Guards against a memory without bounds: the oldest questions go first, and none is kept for ever.
func TestQuestionsAreBounded(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now := n.now()
		for _, s := range n.shards {
			s.decision.Leader = "other" // never answers
		}
		for i := range maxQuestions + 10 {
			n.leave(now, fmt.Sprint(i))
		}
		assert.Check(t, len(n.questions.byJob) == maxQuestions && n.questions.oldest.Len() == maxQuestions)
		assert.Check(t, n.questions.of("9") == nil && n.questions.of("10") != nil)
		n.questions.nextRoundAt = 0
		n.askQuestions(now + keepQuestionFor)
		assert.Check(t, len(n.questions.byJob) == 0 && n.questions.oldest.Len() == 0)
		return 0
	})
}

// Guards against questions about jobs that nothing has run: no leader has had them, or another entry answers for them.
func TestNoQuestionIsKeptWithoutALeaderThatHasHadTheJob(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		n.keepQuestion(n.now(), &pendingJob{job: patientJob("a"), pool: -1, mayHaveRun: true})
		n.keepQuestion(n.now(), &pendingJob{job: patientJob("b"), pool: 0})
		n.keepQuestion(n.now(), &pendingJob{job: patientJob("c"), pool: 0, sentTo: "other", relayFor: "e"})
		assert.Check(t, len(n.questions.byJob) == 0)
		return 0
	})
}

// Guards against a leader of the home that does not answer for a moment: a job that it has told to wait for open runs was cleared
// after a second.
func TestJobThatWaitsForOpenRunsIsNotClearedSinceItsHomeDoesNotAnswer(t *testing.T) {
	n, _ := startNode(t)
	n.SetLayout(fleet.Layout{Version: 1, Targets: 2, Pools: []fleet.Scope{{}, {}}})
	job := callerJob(preferring(1, 2), attemptTimeout)
	n.ask(func() int {
		now := n.now()
		p := &pendingJob{job: job, pool: -1, arrived: now, waiters: []waiter{{done: make(chan fleet.Outcome, 1)}}}
		n.pending[job.ID] = p
		home := pool.New(pool.DefaultSettings(), nil)
		home.SetTargets(now, []fleet.Target{{ID: "stands still", Service: "s"}})
		home.BecomeLeader(now, 1)
		assert.Check(t, home.NoteLeft(now, pool.LeftNote{Coordinator: "e", Job: job.ID, VouchedAgo: pool.DefaultTakeoverDelay}))
		n.homeAnswered(now, p, "other", home.ClaimElsewhere(now, "self", job.ID, now+time.Minute)-now)
		n.shards[1].decision.Leader, n.shards[1].decision.Leading = "other", false // answers nothing more
		for ; now < p.arrived+attemptTimeout+pool.CoordinatorGrace; now += homeClaimPause {
			assert.Check(t, !n.clearedByHome(now, n.shards[0], p), "cleared after %v", now-p.arrived)
		}
		delete(n.pending, job.ID)
		return 0
	})
}

// Guards against jobs that wait for the answer of a leader whose release gives none, or which is lost for good.
func TestOpenRunsDoNotCountForEverWhereNobodyAnswers(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now, s := n.now(), n.shards[0]
		n.leave(now, "a")
		q := n.questions.of("a")
		s.decision.Leader = ""
		assert.Check(t, n.openFor(now, q) == pool.OpenFor)
		assert.Check(t, n.openFor(now+pool.OpenFor, q) == 0)
		s.decision.Leader = "other"
		n.vouching.greeted["other"] = true
		assert.Check(t, n.openFor(now, q) == q.leasesEnd()-now)
		n.takesLeftJobs["other"] = true
		assert.Check(t, n.openFor(now, q) == pool.OpenFor)
		return 0
	})
}
