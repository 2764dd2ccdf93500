package overload

import (
	"slices"
	"time"
)

// Class is the size class of a job among those of its kind.
type Class uint8

// Classes of jobs by the room and time that they need.
const (
	Usual   Class = iota
	Large         // the fifth below the largest tenth
	Largest       // the largest tenth
	classes
)

const (
	// largeFrom and largestFrom are the quantiles of sizes at which the classes begin.
	largeFrom   = 0.7
	largestFrom = 0.9
	// keptSizes is the number of recent jobs of a kind from which the quantiles are learnt, and sizesPerSort how
	// many arrive between two looks at them.
	keptSizes    = 512
	sizesPerSort = 64
	// classWindow is the time after which a job counts half in the served part of its class, and leastDecided the
	// number of jobs below which that part is not reliable.
	classWindow  = time.Second
	leastDecided = 4.0
)

// Sizes learns how large the jobs of a kind are, and what part of each class is served.
type Sizes struct {
	recent          []float64
	next            int
	large, largest  float64
	decided, served [classes]float64 // jobs that got their first room or were refused, and the former of these
	windowStart     time.Duration
}

// Arrive notes a job of a size, its core-seconds, and returns its class.
func (s *Sizes) Arrive(size float64) Class {
	if len(s.recent) < keptSizes {
		s.recent = append(s.recent, size)
	} else {
		s.recent[s.next%keptSizes] = size
	}
	if s.next++; s.next%sizesPerSort == 0 {
		sorted := slices.Sorted(slices.Values(s.recent))
		s.large = sorted[int(largeFrom*float64(len(sorted)))]
		s.largest = sorted[int(largestFrom*float64(len(sorted)))]
	}
	return s.class(size)
}

// class returns the class of a size. All jobs are usual while little is known, or if they don't differ.
func (s *Sizes) class(size float64) Class {
	switch {
	case s.large == 0 || size <= s.large:
		return Usual
	case size <= s.largest:
		return Large
	}
	return Largest
}

// Serve notes that a job of a class got its first room.
func (s *Sizes) Serve(now time.Duration, c Class) {
	s.age(now)
	s.decided[c]++
	s.served[c]++
}

// Turn notes that a job of a class was refused.
func (s *Sizes) Turn(now time.Duration, c Class) {
	s.age(now)
	s.decided[c]++
}

// age halves the counts once for each window that has passed.
func (s *Sizes) age(now time.Duration) {
	for ; now >= s.windowStart+classWindow; s.windowStart += classWindow {
		if now >= s.windowStart+32*classWindow {
			s.windowStart = now - classWindow
		}
		for c := range s.decided {
			s.decided[c] /= 2
			s.served[c] /= 2
		}
	}
}

// part returns the served part of a class, 0 while little is known. Jobs that wait count in neither way: in a burst
// that all find room in time, none is refused.
func (s *Sizes) part(c Class) float64 {
	if s.decided[c] < leastDecided {
		return 0
	}
	return s.served[c] / s.decided[c]
}

// mean returns the served part of all classes, 1 while little is known.
func (s *Sizes) mean() float64 {
	var decided, served float64
	for c := range s.decided {
		decided += s.decided[c]
		served += s.served[c]
	}
	if decided < leastDecided {
		return 1
	}
	return served / decided
}
