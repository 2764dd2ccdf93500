package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
)

// The pool keeps the last falls of all targets that it knows, whoever owned them, and weighs each by how likely no
// task has caused it.

const (
	// massWindow is how long before or after the fall of many targets at once another one may belong to
	// them: an owner that is busy notices some of them late.
	massWindow = 500 * time.Millisecond
	// keepFalls is how long falls are kept.
	keepFalls = 2 * longestRateWindow
	// maxFalls limits the falls that are kept.
	maxFalls = 4096
	// weighInterval is the least time between two weighings. A loss is not judged sooner.
	weighInterval = 50 * time.Millisecond
)

// incarnation identifies one life of a target.
type incarnation struct {
	target string
	number int64
}

// fall is the end of an incarnation of a target that was not leaving: a loss that has not been
// withdrawn, or the appearance of the next incarnation.
type fall struct {
	incarnation
	addr string
	at   time.Duration
	// owned is set if this entry owned the target. The list, which shows other falls, is read seldom, so that
	// these can't be dated well.
	owned bool
}

// weighedFall is a fall with an estimate of how likely no task has caused it.
type weighedFall struct {
	fall
	byChance float64
	mass     int // number of targets that fell at this moment, if they are so many that they had one cause, or 0
}

// falls are the last falls, by time, and what was worked out from them.
type falls struct {
	list      []fall
	known     map[incarnation]fall
	weighed   []weighedFall
	weighedAt time.Duration
	stale     bool // falls, suspicions or targets have changed since they were weighed
	addresses int  // of targets, when the falls were weighed
}

// add adds a fall unless it is known.
func (l *falls) add(f fall) {
	if _, ok := l.known[f.incarnation]; ok {
		return
	}
	if l.known == nil {
		l.known = make(map[incarnation]fall)
	}
	if len(l.list) >= maxFalls {
		delete(l.known, l.list[0].incarnation)
		l.list = slices.Delete(l.list, 0, 1)
	}
	at := len(l.list)
	for at > 0 && l.list[at-1].at > f.at {
		at--
	}
	l.list, l.stale = slices.Insert(l.list, at, f), true
	l.known[f.incarnation] = f
}

// withdraw drops the fall of an incarnation that answers as before.
func (l *falls) withdraw(i incarnation) {
	if _, ok := l.known[i]; !ok {
		return
	}
	delete(l.known, i)
	l.list, l.stale = slices.DeleteFunc(l.list, func(f fall) bool { return f.incarnation == i }), true
}

// forget drops the falls that are too old to count.
func (l *falls) forget(now time.Duration) {
	n := 0
	for n < len(l.list) && now > l.list[n].at+keepFalls {
		delete(l.known, l.list[n].incarnation)
		n++
	}
	if n > 0 {
		l.list, l.stale = slices.Delete(l.list, 0, n), true
	}
}

func (t *target) life() incarnation { return incarnation{t.ID, t.Incarnation} }

func lifeOf(s fleet.Suspicion) incarnation { return incarnation{s.Target, s.Incarnation} }

// noteLostTarget records the fall of a target that this owner has just lost.
func (p *Pool) noteLostTarget(now time.Duration, t *target) {
	if !t.Leaving {
		p.falls.add(fall{t.life(), t.Addr, now, true})
	}
}

// noteSucceededTarget records the fall of a target whose incarnation another one has followed. If it was owned, it fell
// after its last report; if it was lost, its fall was recorded then.
func (p *Pool) noteSucceededTarget(now time.Duration, t *target) {
	if t.Leaving || t.lossRecorded && now > t.lostAt+keepFalls {
		return
	}
	at := now
	if t.owned {
		at = t.reportedAt
	}
	p.falls.add(fall{t.life(), t.Addr, at, t.owned})
}

// weighFalls estimates for each fall how likely no task has caused it. One without a suspect, or whose
// suspects have all worked since, had another cause. A fall under a task that is given up, or under which other targets
// fell too, is blamed on it. The others, of which that is not known, had another cause as often as these. Which tasks are
// suspected of the fall of a target of another owner is known only of jobs that this one has taken over.
func (p *Pool) weighFalls(now time.Duration) {
	l := &p.falls
	if !l.stale || l.weighed != nil && now < l.weighedAt+weighInterval {
		return
	}
	l.stale, l.weighedAt = false, now
	suspects := p.suspectsOfFalls()
	share := l.shareByChance(suspects)
	at := make(map[string]bool, len(p.sortedTargets))
	for _, t := range p.sortedTargets {
		at[t.Addr] = true
	}
	l.addresses = max(len(at), 1)
	enough := max(minOtherCauses, float64(l.addresses)*otherCausesShare)
	l.weighed = make([]weighedFall, len(l.list))
	from, to, dated := 0, 0, 0 // falls with a date between from and to
	for i, f := range l.list {
		for ; to < len(l.list) && l.list[to].at <= f.at+lossWindow; to++ {
			dated += count(l.list[to].owned)
		}
		for ; l.list[from].at < f.at-lossWindow; from++ {
			dated -= count(l.list[from].owned)
		}
		w := weighedFall{fall: f, byChance: share}
		if f.owned && float64(dated) >= enough {
			w.mass = dated
		}
		if suspects[f.incarnation] == 0 && f.owned {
			w.byChance = 1
		}
		l.weighed[i] = w
	}
}

// shareByChance returns how often a fall had another cause than a task, among those of which that is known.
func (l *falls) shareByChance(suspects map[incarnation]int) float64 {
	byChance, blamed := 0.0, 0.0
	for _, f := range l.list {
		switch n := suspects[f.incarnation]; {
		case n > 1:
			blamed++
		case n == 0 && f.owned:
			byChance++
		}
	}
	return (byChance + 1) / (byChance + blamed + 1)
}

// count returns 1 for true and 0 for false.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// suspectsOfFalls returns for each incarnation with suspects how many targets have fallen under the one
// of them with the most: at least two if it was given up, and one if its job has left, which does not show whether
// it crashes targets.
func (p *Pool) suspectsOfFalls() map[incarnation]int {
	most := make(map[incarnation]int)
	for id, sj := range p.suspected {
		for _, list := range sj.tasks {
			n := len(list)
			switch {
			case sj.condemned:
				n = max(n, 2)
			case p.jobs[id] == nil:
				n = 1
			}
			for _, s := range list {
				most[lifeOf(s)] = max(most[lifeOf(s)], n)
			}
		}
	}
	return most
}
