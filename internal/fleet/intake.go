package fleet

// Intake is which tasks a target may get, as far as the evacuation of its data centre goes.
type Intake uint8

const (
	// IntakeAll: any task.
	IntakeAll Intake = iota
	// IntakeBegun: only the remaining tasks of callers' jobs that may have started.
	IntakeBegun
	// IntakeNone: no task.
	IntakeNone
)
