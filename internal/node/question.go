package node

import (
	"container/list"
	"slices"
	"time"

	"currantstall/internal/pool"
	"currantstall/internal/wire"
)

// A job that this entry has answered as one that may have run may still be at work, on a target that stands still.
// The leader of its pool remembers that until there is evidence, but the next leader knows nothing of it. So the
// coordinator keeps the question whether runs are open, and puts it to the leader until that one answers that none is. The
// question tells a new leader of the job, so that a copy of it waits. Meanwhile the coordinator submits the job to no other pool, and its
// note at the job's home stays open.

const (
	// maxQuestions limits the questions that an entry keeps. The oldest ones are dropped.
	maxQuestions = 1 << 12
	// keepQuestionFor is how long a question is kept at most.
	keepQuestionFor = 5 * time.Minute
	// questionInterval is the time between two rounds of asking. Most runs are over soon: a new question is put
	// each round for newQuestionFor, then each questionPause.
	questionInterval = 200 * time.Millisecond
	newQuestionFor   = 2 * time.Second
	questionPause    = time.Second
	// maxQuestionsInMessage limits the size of a message.
	maxQuestionsInMessage = 256
)

// openQuestion is a job that may have run, of which runs may be open.
type openQuestion struct {
	job    string
	number uint64 // repeated in the answer
	shard  *shard // the pool that had the job last
	// leader is the only entry to which the job was submitted, "" if there were several.
	leader    string
	arrivedAt time.Duration
	vouchedAt time.Duration // when this entry last vouched for the job to any leader
	keptAt    time.Duration
	askAt     time.Duration
	openAt    time.Duration // when it was last told that runs are open, or the question was kept
	notedAt   time.Duration // when the home of the job was last told
	told      bool          // a leader has answered that runs are open
}

// questions are the open questions of an entry, by age.
type questions struct {
	byJob       map[string]*list.Element
	oldest      *list.List // of *openQuestion
	last        uint64     // number of the last question
	nextRoundAt time.Duration
}

func newQuestions() questions {
	return questions{byJob: make(map[string]*list.Element), oldest: list.New()}
}

// of returns the open question about a job, nil if there is none.
func (q *questions) of(job string) *openQuestion {
	if e := q.byJob[job]; e != nil {
		return e.Value.(*openQuestion)
	}
	return nil
}

func (q *questions) add(o *openQuestion) {
	q.remove(o.job)
	q.last++
	o.number = q.last
	q.byJob[o.job] = q.oldest.PushBack(o)
}

func (q *questions) remove(job string) {
	if e := q.byJob[job]; e != nil {
		q.oldest.Remove(e)
		delete(q.byJob, job)
	}
}

// all returns the open questions from the oldest to the newest.
func (q *questions) all() []*openQuestion {
	os := make([]*openQuestion, 0, len(q.byJob))
	for e := q.oldest.Front(); e != nil; e = e.Next() {
		os = append(os, e.Value.(*openQuestion))
	}
	return os
}

// leftJob is a question about a job, and the answer to it.
type leftJob struct {
	Job    string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
	// VouchedAgo is the time since the coordinator last vouched for the job.
	VouchedAgo time.Duration `cbor:"3,keyasint,omitempty"`
	// HereOnly is set if only the receiver has had the job. ArrivedAgo is the time since its arrival.
	HereOnly   bool          `cbor:"4,keyasint,omitempty"`
	ArrivedAgo time.Duration `cbor:"5,keyasint,omitempty"`
	// Open is set in an answer if runs of the job are open.
	Open bool `cbor:"6,keyasint,omitempty"`
}

// keepQuestion keeps the question whether runs of a job are open that this entry gives up. A job that no leader has had has none.
func (n *Node) keepQuestion(now time.Duration, p *pendingJob) {
	if p.relayFor != "" || p.pool < 0 || p.pool >= len(n.shards) || p.sentTo == "" && len(p.formers) == 0 {
		return
	}
	q := &openQuestion{
		job: p.job.ID, shard: n.shards[p.pool], leader: p.onlyLeader(), arrivedAt: p.arrived,
		vouchedAt: now + n.runsLastFor(now, p) - pool.DefaultTakeoverDelay, keptAt: now, openAt: now, askAt: now + questionInterval,
	}
	if before := n.questions.of(q.job); before != nil && before.shard == q.shard {
		q.arrivedAt, q.vouchedAt, q.told = min(q.arrivedAt, before.arrivedAt), max(q.vouchedAt, before.vouchedAt), before.told
		if before.leader != q.leader {
			q.leader = ""
		}
	}
	n.questions.add(q)
	if n.questions.oldest.Len() > maxQuestions {
		n.dropQuestion(n.questions.oldest.Front().Value.(*openQuestion), "too many")
	}
}

// onlyLeader returns the entry to which the job was submitted, "" if there were several.
func (p *pendingJob) onlyLeader() string {
	only := former{p.sentTo, p.pool}
	for f := range p.formers {
		if only.leader == "" {
			only.leader = f.leader
		}
		if f != only {
			return ""
		}
	}
	return only.leader
}

// dropQuestion forgets a question that was not answered.
func (n *Node) dropQuestion(q *openQuestion, reason string) {
	n.questions.remove(q.job)
	n.log.Info("job", "job", q.job, "outcome", "open runs forgotten", "reason", reason, "pool", q.shard.index, "told", q.told)
}

// questionOverdue returns why a question is to be forgotten, "" if it is not.
func (n *Node) questionOverdue(now time.Duration, q *openQuestion) string {
	switch {
	case q.shard.index >= len(n.shards) || n.shards[q.shard.index] != q.shard:
		return "layout changed"
	case now >= q.keptAt+keepQuestionFor:
		return "too old"
	}
	return ""
}

// askQuestions puts the questions that are due to the leaders.
func (n *Node) askQuestions(now time.Duration) {
	if now < n.questions.nextRoundAt {
		return
	}
	n.questions.nextRoundAt = now + questionInterval
	n.putQuestions(now, func(q *openQuestion) bool { return now >= q.askAt })
}

// tellOfOpenRuns puts all questions about a pool to its leader, which is new or newly linked.
func (n *Node) tellOfOpenRuns(now time.Duration, s *shard) {
	n.putQuestions(now, func(q *openQuestion) bool { return q.shard == s })
}

// putQuestions puts some of the questions to the leaders.
func (n *Node) putQuestions(now time.Duration, due func(*openQuestion) bool) {
	if len(n.questions.byJob) == 0 {
		return
	}
	asked := make(map[*shard][]leftJob)
	for _, q := range n.questions.all() {
		if reason := n.questionOverdue(now, q); reason != "" {
			n.dropQuestion(q, reason)
			continue
		}
		if !due(q) {
			continue
		}
		q.askAt = now + questionPause
		if now < q.keptAt+newQuestionFor {
			q.askAt = now + questionInterval
		}
		if now >= q.notedAt+questionPause {
			n.noteOpenAtHome(now, q)
		}
		l := leftJob{Job: q.job, Number: q.number, VouchedAgo: now - q.vouchedAt, ArrivedAgo: now - q.arrivedAt, HereOnly: q.leader == q.shard.decision.Leader}
		asked[q.shard] = append(asked[q.shard], l)
	}
	for s, ls := range asked {
		for part := range slices.Chunk(ls, maxQuestionsInMessage) {
			n.sendQuestions(now, s, part)
		}
	}
}

// sendQuestions puts questions to the leader of a pool, unless its release does not read them.
func (n *Node) sendQuestions(now time.Duration, s *shard, ls []leftJob) {
	b := homeBody{Kind: homeLeft, Pool: s.index, Layout: n.layout.Version, Left: ls}
	switch leader := s.decision.Leader; {
	case leader == n.cfg.Self.Name:
		b.HeartbeatAt = now
		n.handleHome(now, leader, b)
	case n.takesLeftJobs[leader]:
		b.HeartbeatAt = n.vouching.beats[leader].sentAt
		n.send(leader, wire.PoolHome, b)
	}
}

// answerQuestions answers the questions of a coordinator about jobs that have left a pool of this entry.
func (n *Node) answerQuestions(now time.Duration, from string, home *pool.Pool, b homeBody) {
	heartbeatAt := min(b.HeartbeatAt, now)
	for i := range b.Left {
		l := &b.Left[i]
		arrivedAt := heartbeatAt - max(l.ArrivedAgo, 0) // at the earliest: the question was sent after that heartbeat
		l.Open = home.NoteLeft(now, pool.LeftNote{
			Coordinator: from, Job: l.Job, VouchedAgo: max(l.VouchedAgo, 0),
			HereOnly: l.HereOnly && heartbeatAt > 0, ArrivedAt: arrivedAt,
		})
	}
	b.Kind = homeLeftAnswer
	if from == n.cfg.Self.Name {
		n.questionsAnswered(now, from, b.Left)
		return
	}
	n.send(from, wire.PoolHome, b)
}

// questionsAnswered handles the answers of a leader.
func (n *Node) questionsAnswered(now time.Duration, from string, ls []leftJob) {
	for _, l := range ls {
		q := n.questions.of(l.Job)
		if q == nil || q.number != l.Number {
			continue
		}
		if !l.Open {
			n.closeQuestion(now, from, q)
			continue
		}
		if !q.told {
			n.log.Info("job", "job", q.job, "outcome", "runs are open", "leader", from, "pool", q.shard.index)
		}
		q.told, q.openAt = true, now
	}
}

// closeQuestion handles the answer that no run of a job is open.
func (n *Node) closeQuestion(now time.Duration, from string, q *openQuestion) {
	n.questions.remove(q.job)
	if q.told {
		n.log.Info("job", "job", q.job, "outcome", "open runs are over", "leader", from, "pool", q.shard.index, "ms", (now - q.keptAt).Milliseconds())
	}
	n.tellHomeOf(now, q, homeGone, max(q.leasesEnd()-now, 0))
}

// leasesEnd returns when the leases of all runs of a job have ended.
func (q *openQuestion) leasesEnd() time.Duration { return q.vouchedAt + pool.DefaultTakeoverDelay }

// openFor returns how long runs of a job count as open from now, unless the question is answered before. If nobody
// answers for pool.OpenFor they do no longer, and those of a leader whose release answers no questions end with their leases.
func (n *Node) openFor(now time.Duration, q *openQuestion) time.Duration {
	until, leader := q.leasesEnd(), q.shard.decision.Leader
	if answersNone := n.vouching.greeted[leader] && !n.takesLeftJobs[leader]; !answersNone {
		until = max(until, q.openAt+pool.OpenFor)
	}
	return max(until-now, 0)
}

// noteOpenAtHome tells the leader of a job's home that runs of the job are open in another pool.
func (n *Node) noteOpenAtHome(now time.Duration, q *openQuestion) {
	q.notedAt = now
	n.tellHomeOf(now, q, homeNote, n.openFor(now, q))
}

// tellHomeOf sends a message about a job with open runs to the leader of its home, if that is another pool. Where the job is pending again,
// and goes to another pool, the note about that stands.
func (n *Node) tellHomeOf(now time.Duration, q *openQuestion, kind homeKind, runsFor time.Duration) {
	home := homePool(q.job, len(n.shards))
	if p := n.pending[q.job]; home == q.shard.index || p != nil && p.home.claimed {
		return
	}
	n.sendHome(now, n.shards[home].decision.Leader, homeBody{Kind: kind, Job: q.job, Pool: home, Layout: n.layout.Version, For: runsFor})
}

// openElsewhere returns the question about a job if its home is another pool than the one whose runs are open, or nil.
func (n *Node) openElsewhere(job string) *openQuestion {
	q := n.questions.of(job)
	if q == nil || homePool(job, len(n.shards)) == q.shard.index {
		return nil
	}
	return q
}

// awaitsOpenRuns reports whether a job has to wait since runs of an earlier attempt are open in another pool than the given one, whose
// leader does not know of them.
func (n *Node) awaitsOpenRuns(now time.Duration, s *shard, p *pendingJob) bool {
	q := n.questions.of(p.job.ID)
	if q == nil || q.shard == s || p.relayFor != "" || n.openFor(now, q) == 0 {
		return false
	}
	if !p.awaitsOpen {
		n.log.Info("job", "job", p.job.ID, "outcome", "waits for its open runs", "pool", q.shard.index, "next", s.index)
	}
	p.awaitsOpen, p.mayHaveRun, p.leaderLostAt, p.retryAt = true, true, now, now+homeClaimPause
	return true
}
