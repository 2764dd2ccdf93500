package pool

import (
	"fmt"
	"testing"
	"time"

	"currantstall/internal/fleet"
)

// newBenchPool returns a leading pool that owns its targets.
func newBenchPool(targets int) (*Pool, time.Duration) {
	p := New(DefaultSettings(), nil)
	now := time.Second
	p.SetTargets(now, targetList(targets))
	p.BecomeLeader(now, 1)
	for _, e := range p.Effects() {
		h := e.(fleet.Hold)
		p.HoldDone(now, now, h, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: 1000, Incarnation: 1})
	}
	return p, now
}

func BenchmarkChooseTarget(b *testing.B) {
	for _, n := range []int{48, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, now := newBenchPool(n)
			j := p.newJob(now, Submit{Coordinator: "e", Job: jobOf("j", queue("q", 0), 1, 14000, 60*ms)})
			b.ReportAllocs()
			for b.Loop() {
				if p.chooseTarget(j.steps[0][0], "") == nil {
					b.Fatal("no target")
				}
			}
		})
	}
}

func BenchmarkSubmitAndAbandon(b *testing.B) {
	p, now := newBenchPool(48)
	s := Submit{Coordinator: "e", Job: jobOf("j", queue("q", 0), 8, 14000, 60*ms)}
	b.ReportAllocs()
	for b.Loop() {
		p.Submit(now, s)
		p.Abandon(now, "e", "j")
	}
}

func BenchmarkShed(b *testing.B) {
	p, now := newBenchPool(1)
	for i := range 20 {
		p.Submit(now, Submit{Coordinator: "e", Job: jobOf(fmt.Sprint("w", i), queue("q", 0), 8, 14000, 60*ms)})
	}
	s := Submit{Coordinator: "e", Job: jobOf("j", queue("q", 0), 8, 14000, 60*ms)}
	now += time.Second
	s.Waited = time.Second
	b.ReportAllocs()
	for b.Loop() {
		p.Submit(now, s)
		p.effects = p.effects[:0]
	}
}
