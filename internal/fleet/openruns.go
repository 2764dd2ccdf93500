package fleet

// OpenRuns are the runs of a job's tasks on a target that was lost, of which there is no evidence that they are over. Only the
// target's own process ends them, which may stand still.
type OpenRuns struct {
	Target string `cbor:"1,keyasint"`
	// Addr is where the target has answered its owner.
	Addr        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	// LeaseMS is the end of the latest lease that is known to be granted there, in ms of the target's clock; 0 if none is.
	LeaseMS int64 `cbor:"4,keyasint,omitempty"`
	// Runs has the number of the run of each task.
	Runs map[int]int `cbor:"5,keyasint"`
}

// MaxOpenTargets limits the targets that the record of a job names in Open, so that a row of the store holds it. Runs
// on others are known to the owner only.
const MaxOpenTargets = 128
