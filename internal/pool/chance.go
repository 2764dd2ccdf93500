package pool

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
)

// Targets also crash for reasons of their own, and some of them do so under a run that is new. How
// likely that is shows in the targets that fall without the task. From these the pool estimates for each
// suspicion the chance that its target would have fallen anyway. See docs/design/crashing-tasks.md.

const (
	// exposure is how long a run can be blamed for such a fall: until it has proved harmless and its owner
	// knows.
	exposure = harmlessAfter + 50*time.Millisecond
	// promptFall is the longest time from a start to the noticed loss of its target that most tasks that crash
	// targets need. promptExposure and lateExposure replace exposure for losses noticed by then and later:
	// these are the shorter and longer part of it, over the share of such tasks that need so long.
	promptFall     = 100 * time.Millisecond
	promptExposure = promptFall * 5 / 3
	lateExposure   = (exposure - promptFall) * 5 / 2
	// minSameMoment is the number of other falls at one moment from which they are taken for more than a
	// coincidence, which the rate covers.
	minSameMoment = 2
)

// rateWindows are how long before and after a fall others count for the rate of falls. The short ones show the
// beginning of a series, the long ones that falls come now and then. The highest rate counts.
var rateWindows = [...]time.Duration{time.Second, 2 * time.Second, 5 * time.Second, longestRateWindow}

const (
	longestRateWindow = 30 * time.Second // the only one for falls without a date
	// shortestHistory is the least time for which an entry is taken to have known its targets.
	shortestHistory = 5 * time.Second
)

// estimateChances sets the chances of the suspicions against the tasks of a job, as far as the falls around them
// are known. What a former owner has told is the least.
func (p *Pool) estimateChances(now time.Duration, sj *suspectJob) {
	if len(p.falls.list) == 0 {
		return
	}
	p.weighFalls(now)
	own := make(map[incarnation]bool)
	for _, list := range sj.tasks {
		for _, s := range list {
			own[lifeOf(s)] = true
		}
	}
	estimates := make(map[incarnation]fallChance, len(own))
	for ordinal, list := range sj.tasks {
		for k := range list {
			life := lifeOf(list[k])
			f, known := p.falls.known[life]
			if !known || now > f.at+keepFalls-longestRateWindow {
				continue // the falls around it may have been forgotten
			}
			chance, done := estimates[life]
			if !done {
				chance = p.chanceOf(now, f, own)
				estimates[life] = chance
			}
			list[k].ChancePPM = max(chance.ppm(sj.exposures[suspicionKey{ordinal, life}]), sj.told[life])
		}
	}
}

// fallChance tells how likely a target would have fallen without a job.
type fallChance struct {
	share float64 // of the other targets that fell at that moment, beyond those that do so by the rate
	rate  float64 // of falls a second, around that moment
}

// ppm returns the chance in millionths for a run that could be blamed for the given time, or exposure if that is 0.
func (c fallChance) ppm(blamedFor time.Duration) int64 {
	if blamedFor == 0 {
		blamedFor = exposure
	}
	chance := min(max(c.share, c.rate*blamedFor.Seconds()), 1)
	if ppm := int64(chance * 1e6); ppm > fleet.MinChancePPM {
		return ppm
	}
	return 0
}

// suspicionKey identifies a suspicion against a task of a job.
type suspicionKey struct {
	ordinal int
	life    incarnation
}

// exposureOf returns how long a run can be blamed, for one whose target was lost so long after its start.
func exposureOf(sinceStart time.Duration) time.Duration {
	if sinceStart <= promptFall {
		return promptExposure
	}
	return lateExposure
}

// chanceOf estimates how likely a target would have fallen without the job when this one did. The rate is the largest
// one of all windows, of all targets or at the same address. The falls of the job's own suspicions are left out.
func (p *Pool) chanceOf(now time.Duration, f fall, own map[incarnation]bool) fallChance {
	sameMoment, n, masses := 0.0, 0, 0.0
	var around, sameAddr [len(rateWindows)]float64
	for _, o := range p.falls.weighed {
		apart := (o.at - f.at).Abs()
		if own[o.incarnation] || apart > longestRateWindow {
			continue
		}
		if apart <= lossWindow && o.owned {
			sameMoment += o.byChance
			n++
		}
		if o.mass > 0 {
			if apart <= massWindow {
				masses += o.byChance / float64(o.mass) // they had one cause
			}
			continue
		}
		for i, w := range rateWindows {
			if apart > w || !o.owned && w < longestRateWindow {
				continue
			}
			around[i] += o.byChance
			if o.addr == f.addr {
				sameAddr[i] += o.byChance
			}
		}
	}
	addresses := float64(p.falls.addresses)
	span := func(w time.Duration) float64 {
		return (min(w, max(f.at-p.firstListedAt, shortestHistory)) + min(w, max(now-f.at, 0))).Seconds()
	}
	rate, sameAddrRate := masses/addresses/span(massWindow), 0.0
	for i, w := range rateWindows {
		rate, sameAddrRate = max(rate, around[i]/addresses/span(w)), max(sameAddrRate, sameAddr[i]/span(w))
	}
	chance := fallChance{rate: max(rate, sameAddrRate)}
	if usual := rate * addresses * (2 * lossWindow).Seconds(); n >= minSameMoment && sameMoment > usual {
		chance.share = (sameMoment - usual) / max(addresses-1, 1)
	}
	return chance
}

// chancesOf returns the chances of the crashes among the suspicions against a task.
func chancesOf(list []fleet.Suspicion) []int64 {
	var ppm []int64
	for _, s := range list {
		if s.Crashed {
			ppm = append(ppm, max(s.ChancePPM, fleet.MinChancePPM))
		}
	}
	return ppm
}

// hasSeveral reports whether several targets have fallen under one of the tasks. A single fall never condemns one.
func (sj *suspectJob) hasSeveral() bool {
	for _, list := range sj.tasks {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

// judgeAgain judges the jobs with a task under which enough targets have crashed to give it up, if that was not
// too likely by chance. Later falls, and what becomes of other suspects, change the estimate.
func (p *Pool) judgeAgain(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.suspected)) {
		j, tasks := p.jobs[id], p.suspected[id].tasks
		if j != nil && j.suspected == p.suspected[id] && slices.ContainsFunc(slices.Collect(maps.Values(tasks)), fleet.EnoughCrashes) {
			p.judge(now, j)
		}
	}
}
