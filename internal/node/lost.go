package node

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/lostcontact"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
)

// served reports whether the pool that had a job last has a leader in reach with targets.
func (p *pendingJob) served(views []poolView) bool {
	v := views[p.pool]
	return v.led && !v.empty
}

// lostJob returns what is known of a job whose leader is out of reach.
func (p *pendingJob) lostJob(now time.Duration) *lostcontact.Job {
	if p.work == 0 {
		p.work = longestChain(&p.job)
	}
	j := &lostcontact.Job{
		LostAt: p.leaderLostAt, RunsUntil: now + pool.DefaultTakeoverDelay - p.formerVouches(now, former{}).ago, Work: p.work,
	}
	if p.job.CallerLeaves {
		j.LeavesAt = p.arrived + p.job.Timeout
	}
	return j
}

// longestChain returns the declared run time of the job's longest chain of steps.
func longestChain(j *fleet.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, before := range j.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// answerLost tells the caller of a job at once that it may have run, if its leader is out of reach and nobody else can
// answer it in time. It reports whether it did.
func (n *Node) answerLost(now time.Duration, p *pendingJob, views []poolView) bool {
	if !p.mayHaveRun || p.pool < 0 || p.relayFor != "" || lostcontact.Next(now, p.lostJob(now), p.served(views)) != lostcontact.Answer {
		return false
	}
	n.log.Info("job", "job", p.job.ID, "outcome", "given up with its leader", "pool", p.pool, "lost_ago_ms", (now - p.leaderLostAt).Milliseconds(),
		"caller_leaves_in_ms", (p.arrived + p.job.Timeout - now).Milliseconds())
	n.settle(now, p.job.ID, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ContactLost})
	return true
}
