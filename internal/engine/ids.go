package engine

import "currantstall/internal/structs"

// Layout of the IDs that are sent to other entries and come back with results,
// from the highest bits: the series, the incarnation and a counter.
const (
	idCountBits       = 40 // counter within one incarnation of the entry
	idIncarnationBits = 20 // hash of the incarnation
	// forwardSeries is the series of forwarded requests. The other series are
	// numbered by class.
	forwardSeries = uint64(structs.Job) + 1
)

// firstID returns the ID at which a series begins in this incarnation of the
// entry. Results are matched by ID alone. So the IDs must differ between the
// classes and forwarded requests, and from those of an earlier incarnation
// whose results may still arrive; otherwise one caller could get the answer of
// another.
func firstID(incarnation, series uint64) uint64 {
	hash := incarnation ^ incarnation>>idIncarnationBits ^ incarnation>>(2*idIncarnationBits) ^ incarnation>>(3*idIncarnationBits)
	hash &= 1<<idIncarnationBits - 1
	return (series<<idIncarnationBits | hash) << idCountBits
}
