package pool

import (
	"time"

	"currantstall/internal/fleet"
)

// ground is why a run was released while its task was not done. The line of the next start names it.
type ground string

const (
	groundLapsed      ground = "lapsed"       // all leases on a target that is not owned have expired
	groundMissing     ground = "missing"      // the target's report lacks the run
	groundNotAcquired ground = "not_acquired" // the report that acquired the target lacks the run
	groundReborn      ground = "reborn"       // the target has a new incarnation
	groundReplaced    ground = "replaced"     // another target has answered at its address
	groundInterrupted ground = "interrupted"  // the target has reported such an end
	groundFailed      ground = "failed"       // the target has reported such an end
	groundEnded       ground = "ended"        // a run of a long-running task
	groundSuperseded  ground = "superseded"   // a later run shows that its owner knew that it was over
	// groundStartPrefix precedes the answer to a start that had no effect.
	groundStartPrefix = "start_"
)

// groundOfAnswer returns the ground for the release of a run whose start was rejected.
func groundOfAnswer(a fleet.Answer) ground { return ground(groundStartPrefix + a.String()) }

// release is the last release of a run of a task that is not done. It serves the log only.
type release struct {
	ground ground
	target string
	run    int
	at     time.Duration
	// leaseOver is how long before that the last lease on the target had ended, by the
	// account of this owner. It is known for groundLapsed only.
	leaseOver time.Duration
	contact   string // what the target's last hold has shown of it; for groundLapsed only
}

// noteRelease records why a run is no longer the current one of its task.
func (tk *task) noteRelease(now time.Duration, r *run, why ground) {
	tk.released = &release{ground: why, target: r.target.ID, run: r.number, at: now}
	if why == groundLapsed {
		tk.released.leaseOver, tk.released.contact = now-r.target.leasesEnd(), r.target.lastContact
	}
}

// leasesEnd returns when the last lease granted on the target ends, even if its clock is slow.
func (t *target) leasesEnd() time.Duration {
	if t.latestLeaseMS == 0 {
		return t.unknownLeasesEnd
	}
	left := float64(t.latestLeaseMS - t.clockMS)
	return max(t.unknownLeasesEnd, t.clockReadAt+time.Duration(left*float64(time.Millisecond)/(1-maxClockDrift)))
}

// restartFields returns the fields that only the start of a task has of which an earlier run was
// released, or whose job was taken over: what shows that no other run of it can be at work.
func (p *Pool) restartFields(now time.Duration, tk *task) []any {
	j, last := tk.job, tk.released
	takenOver := j.mayHaveRunElsewhere || j.restored
	if last == nil && !takenOver {
		return nil
	}
	var fields []any
	if last != nil {
		fields = append(fields, "after", string(last.ground), "after_run", last.run, "after_target", last.target, "after_ms", (now - last.at).Milliseconds())
		if last.ground == groundLapsed {
			fields = append(fields, "lease_over_ms", last.leaseOver.Milliseconds(), "contact", last.contact)
		}
	}
	if j.vouch != nil && j.vouch.known {
		fields = append(fields, "vouched_ms", (now - j.vouch.heardAt).Milliseconds())
		if until := p.permittedUntil(j); until < forever {
			fields = append(fields, "permitted_ms", (until - now).Milliseconds())
		}
	}
	if takenOver {
		over := j.formerRunsEnd
		if j.Stored {
			over = p.stored.runsOver(j.longRunningOnly)
		}
		fields = append(fields, "safe_ms_ago", (now - over).Milliseconds())
	}
	return fields
}
