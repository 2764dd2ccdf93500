package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

func advisedJob(id string, tasks int) fleet.Job {
	j := jobOf(id, queue("q", 0), tasks, 14000, time.Second)
	j.Queue.NeedsTicket = true
	j.Queue.Slack = time.Minute
	return j
}

func (b *bench) advise(a fleet.AdviceRequest, valid time.Duration, allowed ...string) {
	got := fleet.Advice{Request: a, OK: true, Tickets: map[string]string{}, Valid: valid}
	for _, id := range allowed {
		got.Tickets[id] = "ticket-" + id
	}
	b.p.Advised(b.now, got)
}

func TestAdvisedTaskStartsWithATicketOnly(t *testing.T) {
	b := newBench(t, 3)
	b.submit(advisedJob("j", 1))
	b.tick(ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0)
	asks := take[fleet.AdviceRequest](b)
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, len(asks[0].Targets), 3)
	b.tick(ms)
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 0, "one question at a time")

	b.advise(asks[0], time.Second, "t01")
	b.tick(ms)

	starts := b.startAll()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, "t01")
	assert.Equal(t, starts[0].Ticket, "ticket-t01")
}

func TestTicketIsAskedForAgainOnceItHasLapsed(t *testing.T) {
	b := newBench(t, 1)
	b.submit(advisedJob("j", 2))
	b.tick(ms)
	b.advise(take[fleet.AdviceRequest](b)[0], 500*ms, "t00")
	b.tick(time.Second)
	assert.Equal(t, len(take[fleet.Start](b)), 0, "started with a ticket that has lapsed")
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 1)
}

func TestDeniedTargetsAreNotAskedForAgain(t *testing.T) {
	b := newBench(t, 6)
	b.submit(advisedJob("j", 1))
	b.tick(ms)
	first := take[fleet.AdviceRequest](b)[0]
	assert.Equal(t, len(first.Targets), askAtLeast)
	b.advise(first, time.Second)
	b.tick(ms)
	second := take[fleet.AdviceRequest](b)[0]
	assert.Equal(t, len(second.Targets), 2)
	b.advise(second, time.Second)
	b.tick(ms)
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 0)
}

func TestBusyAdviserIsAskedAgainAfterAPause(t *testing.T) {
	b := newBench(t, 1)
	b.submit(advisedJob("j", 1))
	b.tick(ms)
	b.p.Advised(b.now, fleet.Advice{Request: take[fleet.AdviceRequest](b)[0]})
	b.tick(askAgain / 2)
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 0)
	b.tick(askAgain)
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 1)
}

func TestRefusedTicketIsDropped(t *testing.T) {
	b := newBench(t, 1)
	b.submit(advisedJob("j", 1))
	b.tick(ms)
	b.advise(take[fleet.AdviceRequest](b)[0], time.Minute, "t00")
	b.tick(ms)
	b.reply(take[fleet.Start](b)[0], fleet.InvalidTicket)
	b.tick(ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0)
	assert.Equal(t, len(take[fleet.AdviceRequest](b)), 1)
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU, int64(0))
}
