package fleet

import "slices"

// Suspicion records that a target was lost while it had a run of a task that had not
// proved harmless.
type Suspicion struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// Alone is set if no task of another job is suspected of this loss.
	Alone bool `cbor:"3,keyasint,omitempty"`
	// Crashed is set if the target is known to have crashed: another incarnation has
	// taken its place.
	Crashed bool `cbor:"4,keyasint,omitempty"`
	// Weak is set if the loss probably has another cause than the task.
	Weak bool `cbor:"5,keyasint,omitempty"`
	// ChancePPM is the chance in millionths that the target would have fallen without the task, by the
	// other targets that fell then. It is 0 if it is below MinChancePPM or not known.
	ChancePPM int64 `cbor:"6,keyasint,omitempty"`
}

// Suspicions holds the suspicions against the tasks of a job. Tasks are numbered from 0
// through all steps.
type Suspicions map[int][]Suspicion

const (
	// crashesToCondemn is the number of targets that have to crash under a task for it
	// to count as the cause, if at least one of these crashes has no suspect of another
	// job.
	crashesToCondemn = 2
	// sharedCrashesToCondemn is that number if all of them have suspects of other jobs too.
	sharedCrashesToCondemn = 3
	// anyCrashesToCondemn is that number if crashes that probably have another cause are among
	// them.
	anyCrashesToCondemn = 4
	// MinChancePPM is the least chance in millionths that a target crashes under a task that is not the
	// cause. Targets crash on the calmest day.
	MinChancePPM = 500
	// maxChanceToCondemn is the greatest chance that none of the crashes under a task was its fault for
	// it to be given up.
	maxChanceToCondemn = 1e-6
	// mostCrashes is how many crashes a task may cost, and maxChanceOfMost replaces maxChanceToCondemn after so
	// many: estimates of a chance are rather too high than too low.
	mostCrashes     = 5
	maxChanceOfMost = 1e-5
	// maxSuspicions limits the suspicions against one task that are kept.
	maxSuspicions = 16
)

// Condemns reports whether the crashes among the suspicions against a task show that it
// crashes its targets: there are enough of them, and they are too unlikely by chance.
func Condemns(list []Suspicion) bool {
	chance, crashes := chanceOfCrashes(list)
	atMost := maxChanceToCondemn
	if crashes >= mostCrashes {
		atMost = maxChanceOfMost
	}
	return EnoughCrashes(list) && chance <= atMost
}

// chanceOfCrashes returns the chance that all crashes among the suspicions had other causes, and their number.
func chanceOfCrashes(list []Suspicion) (chance float64, crashes int) {
	chance = 1
	for _, s := range list {
		if s.Crashed {
			chance *= float64(max(s.ChancePPM, MinChancePPM)) / 1e6
			crashes++
		}
	}
	return chance, crashes
}

// EnoughCrashes reports whether there are enough crashes among the suspicions against a task to
// condemn it, unless they are likely by chance.
func EnoughCrashes(list []Suspicion) bool {
	crashes, alone, weak := 0, 0, 0
	for _, s := range list {
		switch {
		case !s.Crashed:
		case s.Weak:
			weak++
		default:
			crashes++
			if s.Alone {
				alone++
			}
		}
	}
	return crashes >= crashesToCondemn && alone > 0 || crashes >= sharedCrashesToCondemn || crashes+weak >= anyCrashesToCondemn
}

// MayCondemn reports whether it is not known yet of all targets whether they have crashed, and the
// suspicions may condemn a task if they have. The chances of crashes are known better by then.
func MayCondemn(list []Suspicion) bool {
	all, unproven := make([]Suspicion, len(list)), false
	for i, s := range list {
		unproven = unproven || !s.Crashed
		s.Crashed = true
		all[i] = s
	}
	return unproven && EnoughCrashes(all)
}

// Add adds a suspicion against a task, and reports whether that changed anything. Of two
// that concern the same incarnation of a target, one is kept. If there are too many, the
// oldest loss that has not proved to be a crash is dropped, or else the likeliest crash.
func (s Suspicions) Add(task int, n Suspicion) bool {
	list := s[task]
	for i := range list {
		if o := &list[i]; o.Target == n.Target && o.Incarnation == n.Incarnation {
			changed := n.Crashed && !o.Crashed || n.Weak && !o.Weak
			o.Crashed, o.Weak, o.ChancePPM = o.Crashed || n.Crashed, o.Weak || n.Weak, max(o.ChancePPM, n.ChancePPM)
			return changed
		}
	}
	if len(list) >= maxSuspicions {
		drop := slices.IndexFunc(list, func(o Suspicion) bool { return !o.Crashed })
		if drop < 0 {
			drop = likeliest(list)
		}
		list = slices.Delete(list, drop, drop+1)
	}
	s[task] = append(list, n)
	return true
}

// likeliest returns the index of the crash that is most likely by chance.
func likeliest(list []Suspicion) int {
	at := 0
	for i, s := range list {
		if s.ChancePPM > list[at].ChancePPM {
			at = i
		}
	}
	return at
}

// Weaken marks the suspicions of a loss as weak, and reports whether that changed any.
func (s Suspicions) Weaken(target string, incarnation int64) bool {
	changed := false
	for _, list := range s {
		for i := range list {
			if o := &list[i]; o.Target == target && o.Incarnation == incarnation && !o.Weak {
				o.Weak, changed = true, true
			}
		}
	}
	return changed
}

// Clone returns a deep copy, nil if there are no suspicions.
func (s Suspicions) Clone() Suspicions {
	if len(s) == 0 {
		return nil
	}
	c := make(Suspicions, len(s))
	for task, list := range s {
		c[task] = append([]Suspicion(nil), list...)
	}
	return c
}
