package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run of a task whose first run goes on by a lease that the former owner of
// its target had granted, beyond the shorter one of its starter.
func TestRunOutlastsItsLeaseByThatOfTheFormerOwner(t *testing.T) {
	b := newHarness(t, 2)
	patient := queue("q", 0)
	patient.Slack = 3 * time.Second
	b.submitFrom("e1", jobOf("withdrawn", patient, 1, 14000, 3*time.Second))
	b.tick(ms)
	stopping := b.acceptStarts()[0]
	lost := b.p.targets[stopping.Target.ID]
	b.tick(500 * ms)
	b.p.Withdraw(b.now, "e1", "withdrawn") // its run limits the leases on the target from now on

	// Another owner has the target for a moment, and grants a lease.
	b.p.markFenced(b.now, lost)
	formerLeaseEnds := b.clock() + DefaultLease.Milliseconds()
	b.tick(ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, []fleet.Running{{Task: stopping.Task, Run: stopping.Run}}, nil)
	}
	b.tick(300 * ms)
	b.submitFrom("e2", jobOf("j", patient, 2, 14000, 3*time.Second))
	b.hear("e2")
	b.tick(ms)
	var first fleet.Start
	for _, s := range b.acceptStarts() {
		if s.Target.ID == lost.ID {
			first = s
		}
	}
	assert.Equal(t, first.Target.ID, lost.ID)
	b.p.markFenced(b.now, lost)
	for range 200 {
		b.hear("e2")
		lost.nextAcquireAt = b.now + time.Hour
		b.tick(5 * ms)
		b.answerHolds(nil)
		for _, s := range takeEffects[fleet.Start](b) {
			if s.Task == first.Task {
				assert.Assert(t, b.clock() > formerLeaseEnds, "run %d starts %d ms before the lease of the former owner ends", s.Run, formerLeaseEnds-b.clock())
				return
			}
		}
	}
	t.Fatal("not started again")
}
