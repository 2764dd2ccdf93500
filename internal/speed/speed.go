// Package speed tells slow targets from slow work, by comparing targets with each other over the same kind of work. It
// holds no clock, socket or goroutine: times are passed in.
//
// The time of a run says little by itself: declared times are off by a factor, for a whole job or a whole kind, and of
// some kinds a few runs in a hundred take many times as long as the others. So each run gives one sign at the most:
// it is slow if it took over SlowFactor times its reference, which is the median of its kind, that of the kind's last runs
// or that of its job's other tasks on other targets, whichever is the highest. A target is slow once its slow signs outnumber the ordinary ones by
// signsOfSlow. See docs/design/target-speed.md for the bound on false findings.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// SlowFactor times its reference is how long a run has to take to be a slow sign. Targets that are up to twice as
	// slow as others count as ordinary.
	SlowFactor = 3.0
	// minExcess is how much longer than its reference a run has to take besides: less is the delay of a message.
	minExcess = 60 * time.Millisecond
	// kindWindow is the number of runs of a kind whose median is its reference, and kindNow the number of last runs
	// that show whether all of the kind take longer now. The kind is known from as many on.
	kindWindow = 41
	kindNow    = 5
	// enoughSiblings is the number of runs of the same job that show as much.
	enoughSiblings = 2
	// signsOfSlow is by how many signs the slow ones of a slow target outnumber the ordinary ones, and signsOfSuspect
	// from how many on a target is suspected. maxSigns bounds what a recovered target has to make up for.
	signsOfSlow    = 4
	signsOfSuspect = 2
	maxSigns       = 5
	// fadeAfter is the age at which evidence counts one sign less, and again for each further such time.
	fadeAfter = 4 * time.Second
	// maxPaceStep bounds what one run says of the pace of its target, as a logarithm, and paceWeight is its weight.
	maxPaceStep = 0.5
	paceWeight  = 0.25
)

// Kind is what is known of the runs of one kind of work: the ratios of the last run times to the expected ones.
type Kind struct {
	all  window
	last window // on targets that are not suspected
}

// window is a number of logarithms of ratios.
type window struct {
	byAge, sorted []float64
	next          int // index of the oldest one once the window is full
}

// add adds a value, in place of the oldest one if there are as many as size.
func (w *window) add(value float64, size int) {
	if len(w.byAge) < size {
		w.byAge = append(w.byAge, value)
	} else {
		at, _ := slices.BinarySearch(w.sorted, w.byAge[w.next])
		w.sorted = slices.Delete(w.sorted, at, at+1)
		w.byAge[w.next] = value
		w.next = (w.next + 1) % size
	}
	at, _ := slices.BinarySearch(w.sorted, value)
	w.sorted = slices.Insert(w.sorted, at, value)
}

// median returns the median, or the lower one of the two in the middle.
func (w *window) median() float64 { return w.sorted[(len(w.sorted)-1)/2] }

func medianOf(values []float64) float64 {
	w := window{sorted: slices.Sorted(slices.Values(values))}
	return w.median()
}

// Sign is what a run says of its target.
type Sign uint8

// The signs.
const (
	Unknown  Sign = iota // nothing to compare the run with, or its whole job takes long
	Ordinary             // it took as long as others of its kind
	Slow                 // it took much longer than others of its kind and of its job
)

// Run is a run that has ended, or that takes Took at least.
type Run struct {
	Took, Expected time.Duration
	Ended          bool
	// Siblings are the Ratios of runs of the same step of the job on other targets.
	Siblings []float64
	// Repeated is set if the target has given a sign by another run of the same job.
	Repeated bool
	// Suspected is set if the target is suspected of being slow.
	Suspected bool
	// Learn is set if the kind is to learn from the run.
	Learn bool
}

// Ratio returns the logarithm of the ratio of the run's time to the expected time.
func (r *Run) Ratio() float64 { return math.Log(float64(r.Took) / float64(r.Expected)) }

// Verdict is a sign and how much longer the run took than its reference, and than expected, as logarithms.
type Verdict struct {
	Sign          Sign
	Excess, Ratio float64
}

// Judge compares a run with others. The kind learns from it unless it is at work and shows nothing yet, in which case
// the verdict is Unknown and the run may be judged again.
func (k *Kind) Judge(r Run) (v Verdict, final bool) {
	if r.Took <= 0 || r.Expected <= 0 {
		return Verdict{}, r.Ended // says nothing
	}
	v = k.compare(&r)
	if !r.Ended && v.Sign != Slow {
		return Verdict{}, false
	}
	if r.Learn {
		k.all.add(r.Ratio(), kindWindow)
		if !r.Suspected {
			k.last.add(r.Ratio(), kindNow)
		}
	}
	return v, true
}

// compare returns the verdict on a run.
func (k *Kind) compare(r *Run) Verdict {
	ratio, kindKnown := r.Ratio(), len(k.last.byAge) == kindNow
	if len(r.Siblings) == 0 && (!kindKnown || r.Repeated) {
		return Verdict{Ratio: ratio} // a wrong estimate of one job would count once for each of its tasks
	}
	reference, ofKind := math.Inf(-1), 0.0
	if kindKnown {
		reference = k.all.median()
		ofKind = ratio - reference
	}
	if len(r.Siblings) > 0 {
		reference = max(reference, medianOf(r.Siblings))
	}
	if kindKnown && len(r.Siblings) < enoughSiblings {
		reference = max(reference, k.last.median())
	}
	v := Verdict{Excess: ratio - reference, Ratio: ratio}
	least := time.Duration(float64(r.Expected) * math.Exp(reference))
	switch {
	case v.Excess > math.Log(SlowFactor) && r.Took-least > minExcess:
		v.Sign = Slow
	case ofKind > math.Log(SlowFactor):
		v.Sign = Unknown // so do the other tasks of its job, or all last runs of the kind
	default:
		v.Sign = Ordinary
	}
	return v
}

// State is what the signs of a target amount to.
type State uint8

// The states.
const (
	AsOthers  State = iota
	Suspected       // some slow signs
	ShownSlow
)

// String returns the state as it stands in logs and metrics.
func (s State) String() string { return [...]string{"ordinary", "suspected", "slow"}[s] }

// Target is the evidence on one life of a target. The zero value knows nothing.
type Target struct {
	signs  int           // by how many slow signs outnumber ordinary ones
	at     time.Duration // when that changed last
	excess float64       // mean logarithm of how much longer than others its slow runs take
	pace   float64       // likewise of all runs, each within maxPaceStep
}

// Add adds a verdict on a run of the target.
func (t *Target) Add(now time.Duration, v Verdict) {
	t.pace += paceWeight * (min(max(v.Ratio, -maxPaceStep), maxPaceStep) - t.pace)
	if v.Sign == Unknown {
		return
	}
	t.signs, t.at = t.left(now), now
	if v.Sign == Ordinary {
		t.signs = max(t.signs-1, 0)
		return
	}
	if t.signs == 0 {
		t.excess = v.Excess
	}
	t.excess = (t.excess + v.Excess) / 2
	t.signs = min(t.signs+1, maxSigns)
}

// left returns the signs that have not faded.
func (t *Target) left(now time.Duration) int {
	return max(t.signs-int(max(now-t.at, 0)/fadeAfter), 0)
}

// State returns the state of the target.
func (t *Target) State(now time.Duration) State {
	switch n := t.left(now); {
	case n >= signsOfSlow:
		return ShownSlow
	case n >= signsOfSuspect:
		return Suspected
	default:
		return AsOthers
	}
}

// Signs returns by how many its slow signs outnumber the ordinary ones.
func (t *Target) Signs(now time.Duration) int { return t.left(now) }

// Pace returns the mean logarithm of how much longer than expected its runs take. It is 0 for a target
// without runs, below that for a fast one, and within maxPaceStep: too rough to call a target slow, and good enough to
// choose between two that fit a task alike.
func (t *Target) Pace() float64 { return t.pace }

// Factor returns how many times as long as on other targets a run takes: 1 for an ordinary target.
func (t *Target) Factor(now time.Duration) float64 {
	if t.State(now) == AsOthers {
		return 1
	}
	return math.Exp(t.excess)
}
