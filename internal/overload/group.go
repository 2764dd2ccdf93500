package overload

import (
	"slices"
	"time"
)

// Groups learns what the groups of callers of a kind, those of one data centre each, ask and get, so that a flood of one
// group leaves the others theirs.
type Groups struct {
	asked, got  map[string]float64 // core-seconds of the last moments
	windowStart time.Duration
}

const (
	// groupWindow is the time after which what a group has asked and got counts half.
	groupWindow = time.Second
	// groupTolerance times its fair part is what a group gets before it counts as one that takes the part of others. The
	// groups differ in their callers, and at times one has more of them than usual.
	groupTolerance = 1.5
	// forgottenAsk is what a group has asked, in core-seconds, when it is forgotten.
	forgottenAsk = 0.01
)

// Ask notes that a job of a group arrived.
func (g *Groups) Ask(now time.Duration, group string, coreSeconds float64) {
	g.age(now)
	if g.asked == nil {
		g.asked, g.got = make(map[string]float64), make(map[string]float64)
	}
	g.asked[group] += coreSeconds
}

// Get notes that a job of a group got its first room.
func (g *Groups) Get(now time.Duration, group string, coreSeconds float64) {
	g.age(now)
	if g.got != nil {
		g.got[group] += coreSeconds
	}
}

func (g *Groups) age(now time.Duration) {
	if now < g.windowStart+groupWindow {
		return
	}
	g.windowStart = now
	for group := range g.asked {
		g.asked[group] /= 2
		if g.got[group] /= 2; g.asked[group] < forgottenAsk {
			delete(g.asked, group)
			delete(g.got, group)
		}
	}
}

// Over reports whether a group gets more than its fair part: what all got, divided so that no group gets more than
// it asks and those that could use more get the same.
func (g *Groups) Over(group string) bool {
	if len(g.asked) < 2 {
		return false
	}
	rest := 0.0
	asked := make([]float64, 0, len(g.asked))
	for name, a := range g.asked {
		rest += g.got[name]
		asked = append(asked, a)
	}
	slices.Sort(asked)
	level := 0.0
	for i, a := range asked {
		if level = rest / float64(len(asked)-i); a >= level {
			break
		}
		rest -= a
	}
	return g.got[group] > groupTolerance*level
}
