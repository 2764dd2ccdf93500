package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// loggedLines collects the lines of one event that a pool logs, by their keys.
func (b *harness) loggedLines(event string) *[]map[string]any {
	var lines []map[string]any
	b.p.log = func(e string, args ...any) {
		if e != event {
			return
		}
		line := make(map[string]any)
		for i := 0; i < len(args); i += 2 {
			line[args[i].(string)] = args[i+1]
		}
		lines = append(lines, line)
	}
	return &lines
}

// keysOf fails the test unless a line has exactly the given ones of the fields of a restart.
func keysOf(t *testing.T, line map[string]any, want ...string) {
	t.Helper()
	wanted := make(map[string]bool)
	for _, k := range want {
		wanted[k] = true
	}
	for _, k := range []string{"after", "after_run", "after_target", "after_ms", "lease_over_ms", "vouched_ms", "permitted_ms", "safe_ms_ago"} {
		_, has := line[k]
		assert.Equal(t, has, wanted[k], "%s in %v", k, line)
	}
}

func TestStartAfterALapseNamesTheLeaseAndTheWordOfTheCoordinator(t *testing.T) {
	b := newHarness(t, 2)
	lines := b.loggedLines("start")
	patient := queue("q", 0)
	patient.Slack = 3 * time.Second
	b.submitFrom("e1", jobOf("j", patient, 1, 14000, 3*time.Second))
	b.tick(ms)
	first := b.acceptStarts()[0]
	keysOf(t, (*lines)[0])
	b.p.markUnreachable(b.now, b.p.targets[first.Target.ID])
	leaseEnds := time.Duration(first.LeaseUntilMS) * ms
	var heardAt time.Duration
	for range 400 {
		b.p.targets[first.Target.ID].nextAcquireAt = b.now + time.Hour // still out of reach
		if b.now.Milliseconds()%100 == 0 {
			b.hear("e1")
			heardAt = b.now
		}
		b.tick(5 * ms)
		b.answerHolds(nil)
		if len(*lines) > 1 {
			break
		}
		b.now = b.now.Truncate(5 * ms)
	}
	assert.Equal(t, len(*lines), 2)
	again := (*lines)[1]
	keysOf(t, again, "after", "after_run", "after_target", "after_ms", "lease_over_ms", "vouched_ms", "permitted_ms")
	assert.Equal(t, again["after"], "lapsed")
	assert.Equal(t, again["after_run"], first.Run)
	assert.Equal(t, again["after_target"], first.Target.ID)
	assert.Assert(t, again["vouched_ms"].(int64) <= again["after_ms"].(int64), "the word is from after the release")
	assert.Assert(t, again["after_ms"].(int64) <= 100, "it starts by the next word")
	assert.Equal(t, again["vouched_ms"], (b.now - heardAt).Milliseconds())
	assert.Equal(t, again["permitted_ms"], (heardAt + DefaultVouchFor - b.now).Milliseconds())
	over := again["lease_over_ms"].(int64)
	assert.Assert(t, over >= timeToEnd.Milliseconds() && over <= (b.now-leaseEnds).Milliseconds(), "%d ms, %v after the lease", over, b.now-leaseEnds)
}

func TestStartOfAJobTakenOverTellsSinceWhenFormerRunsAreOver(t *testing.T) {
	b := newHarness(t, 1)
	lines := b.loggedLines("start")
	patient := queue("q", 0)
	patient.Slack = 3 * time.Second
	taken := b.now
	const vouchedAgo = 400 * ms
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: jobOf("j", patient, 1, 14000, 60*ms), NeedsVouch: true, HeartbeatAt: b.now, MayHaveRun: true, VouchedAgo: vouchedAgo})
	for range 200 {
		b.hear("e1")
		b.tick(10 * ms)
		if len(*lines) > 0 {
			break
		}
	}
	assert.Equal(t, len(*lines), 1)
	keysOf(t, (*lines)[0], "vouched_ms", "permitted_ms", "safe_ms_ago")
	assert.Equal(t, (*lines)[0]["safe_ms_ago"], (b.now - (taken + DefaultTakeoverDelay - vouchedAgo)).Milliseconds())
	assert.Assert(t, (*lines)[0]["safe_ms_ago"].(int64) >= 0)
}

func TestStartNamesTheGroundOfTheReleaseBeforeIt(t *testing.T) {
	release := map[string]func(b *harness, s fleet.Start){
		"start_no_room":  func(b *harness, s fleet.Start) { b.replyStart(s, fleet.NoRoom) },
		"start_not_sent": func(b *harness, s fleet.Start) { b.replyStart(s, fleet.NotSent) },
		"start_fenced":   func(b *harness, s fleet.Start) { b.replyStart(s, fleet.Fenced) },
		"interrupted": func(b *harness, s fleet.Start) {
			b.replyStart(s, fleet.Accepted)
			b.endRun(s, 1, fleet.EndInterrupted, "")
		},
		"failed": func(b *harness, s fleet.Start) {
			b.replyStart(s, fleet.Accepted)
			b.endRun(s, 1, fleet.EndFailed, "")
		},
		"missing": func(b *harness, s fleet.Start) {
			b.replyStart(s, fleet.Accepted)
			b.tick(ms)
			b.answerHolds(nil)
		},
		"reborn": func(b *harness, s fleet.Start) {
			b.replyStart(s, fleet.Accepted)
			b.p.newIncarnation(b.now, b.p.targets[s.Target.ID], 2)
		},
		"not_acquired": func(b *harness, s fleet.Start) {
			x := b.p.targets[s.Target.ID]
			b.p.markFenced(b.now, x)
			b.p.acquire(b.now, x)
			b.answerHolds(nil)
		},
	}
	for ground, end := range release {
		t.Run(ground, func(t *testing.T) {
			b := newHarness(t, 3)
			lines := b.loggedLines("start")
			patient := queue("q", 0)
			patient.Slack = 3 * time.Second
			b.submit(jobOf("j", patient, 1, 14000, 60*ms))
			b.tick(ms)
			end(b, takeEffects[fleet.Start](b)[0])
			for range 300 {
				b.tick(10 * ms)
				b.answerHolds(nil)
				var starts []map[string]any
				for _, l := range *lines {
					if _, answered := l["outcome"]; !answered {
						starts = append(starts, l)
					}
				}
				if len(starts) > 1 {
					assert.Equal(t, fmt.Sprint(starts[1]["after"]), ground)
					keysOf(t, starts[1], "after", "after_run", "after_target", "after_ms")
					return
				}
			}
			t.Fatal("the task was not started again")
		})
	}
}
