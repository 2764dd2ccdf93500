package engine

import "currantstall/internal/structs"

// Parts of an identifier that goes to other entries and comes back.
const (
	idCountBits = 40 // numbers of one run of an entry
	idRunBits   = 20 // which run of it
	idSeries    = uint64(structs.Job) + 1
)

// firstID returns where the numbers of a series begin in this run of an entry.
// Results come back under these numbers alone, so they must differ between the
// classes and forwarding, and from those of an earlier run whose results may
// still arrive; else one caller got another's answer.
func firstID(incarnation, series uint64) uint64 {
	run := incarnation ^ incarnation>>idRunBits ^ incarnation>>(2*idRunBits) ^ incarnation>>(3*idRunBits)
	run &= 1<<idRunBits - 1
	return (series<<idRunBits | run) << idCountBits
}
