package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// ticketJob returns a job whose tasks need tickets.
func ticketJob(id string, tasks int) fleet.Job {
	j := jobOf(id, queue("q", 0), tasks, 14000, time.Second)
	j.Queue.NeedsTicket = true
	j.Queue.Slack = time.Minute
	return j
}

// advise answers an advice request with tickets for the allowed targets.
func (b *harness) advise(a fleet.AdviceRequest, valid time.Duration, allowed ...string) {
	got := fleet.Advice{Request: a, OK: true, Tickets: map[string]string{}, Valid: valid}
	for _, id := range allowed {
		got.Tickets[id] = "ticket-" + id
	}
	b.p.AdviceReceived(b.now, got)
}

func TestAdvisedTaskRequiresTicket(t *testing.T) {
	b := newHarness(t, 3)
	b.submit(ticketJob("j", 1))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	asks := takeEffects[fleet.AdviceRequest](b)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, len(asks[0].Targets), 3)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 0, "only one advice request at a time")

	b.advise(asks[0], time.Second, "t01")
	b.tick(ms)

	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, "t01")
	assert.Equal(t, starts[0].Ticket, "ticket-t01")
}

func TestExpiredTicketIsRequestedAgain(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(ticketJob("j", 2))
	b.tick(ms)
	b.advise(takeEffects[fleet.AdviceRequest](b)[0], 500*ms, "t00")
	b.tick(time.Second)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started with an expired ticket")
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 1)
}

func TestDeniedTargetsAreNotRequestedAgain(t *testing.T) {
	b := newHarness(t, 6)
	b.submit(ticketJob("j", 1))
	b.tick(ms)
	first := takeEffects[fleet.AdviceRequest](b)[0]
	assert.Equal(t, len(first.Targets), minAdviceTargets)
	b.advise(first, time.Second)
	b.tick(ms)
	second := takeEffects[fleet.AdviceRequest](b)[0]
	assert.Equal(t, len(second.Targets), 2)
	b.advise(second, time.Second)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 0)
}

func TestFailedAdviceRequestIsRetriedAfterBackoff(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(ticketJob("j", 1))
	b.tick(ms)
	b.p.AdviceReceived(b.now, fleet.Advice{Request: takeEffects[fleet.AdviceRequest](b)[0]})
	b.tick(adviceBackoff / 2)
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 0)
	b.tick(adviceBackoff)
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 1)
}

func TestRejectedTicketIsDropped(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(ticketJob("j", 1))
	b.tick(ms)
	b.advise(takeEffects[fleet.AdviceRequest](b)[0], time.Minute, "t00")
	b.tick(ms)
	b.replyStart(takeEffects[fleet.Start](b)[0], fleet.InvalidTicket)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	assert.Equal(t, len(takeEffects[fleet.AdviceRequest](b)), 1)
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU, int64(0))
}
