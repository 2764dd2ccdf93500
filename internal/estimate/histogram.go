// Package estimate learns how long the tasks of a kind run and how much of a
// worker's resources they use. Declared values are initial estimates that a few
// observations outweigh. The state has a fixed size, and the package reads no
// clock.
package estimate

import "math"

const (
	bucketsPerDoubling = 4
	doublings          = 32
	numBuckets         = bucketsPerDoubling * doublings
	// maxTotalWeight is the total weight above which all counts are halved, so
	// that the last few hundred observations dominate.
	maxTotalWeight = 512
	// refreshEvery is the number of observations between updates of the cached
	// quantiles. Until the total weight reaches it, each observation updates
	// them.
	refreshEvery = 16
)

// histogram counts positive values in buckets of equal ratio, 2^(1/4), so a
// quantile is off by at most 9%. Old counts decay as new values are added.
type histogram struct {
	counts       [numBuckets]float32
	total        float64
	sinceRefresh int // observations since the last refresh
	refreshDue   bool
}

// bucketOf returns the bucket of a value of 1 or more.
func bucketOf(v float64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Log2(v)*bucketsPerDoubling), numBuckets-1)
}

// valueOf returns the geometric mean of the limits of a bucket.
func valueOf(bucket int) float64 {
	return math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling)
}

func (h *histogram) add(v float64, weight float32) {
	h.counts[bucketOf(v)] += weight
	h.total += float64(weight)
	if h.total > maxTotalWeight {
		h.halve()
	}
	h.sinceRefresh++
	if h.sinceRefresh >= refreshEvery || h.total < refreshEvery {
		h.sinceRefresh, h.refreshDue = 0, true
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += float64(h.counts[i])
	}
}

// quantile returns the value below which the fraction p of the total weight
// lies.
func (h *histogram) quantile(p float64) float64 {
	remaining := p * h.total
	last := 0
	for i, c := range h.counts {
		if c == 0 {
			continue
		}
		last = i
		remaining -= float64(c)
		if remaining <= 0 {
			break
		}
	}
	return valueOf(last)
}
