package target

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// Paths of the target protocol. docs/design/targets.md describes it.
const (
	PathTasks = "/v1/tasks" // POST starts a task; below it: <key>/<task>
	PathFence = "/fence"    // POST below a task: a look-up that bars a later start
	PathClock = "/v1/clock" // GET returns no body, only the clock header
	PathUsage = "/v1/usage" // GET returns a Usage
	QueryWait = "wait_ms"   // of a look-up: how long it may wait for the end
)

// Headers of a start.
const (
	HeaderKey          = "Currantstall-Key"
	HeaderTask         = "Currantstall-Task"
	HeaderKind         = "Currantstall-Kind"
	HeaderDeadline     = "Currantstall-Deadline-Ms"  // time left when it was sent, ms
	HeaderNotAfter     = "Currantstall-Not-After"    // last time for the start, a Clock
	HeaderMilliCPU     = "Currantstall-Milli-Cpu"    // declared or used
	HeaderMemory       = "Currantstall-Memory-Mb"    // declared or used, MiB
	HeaderAccelerators = "Currantstall-Accelerators" // declared or used
	HeaderVerdict      = "Currantstall-Verdict"      // completed, failed or not_run
	HeaderReason       = "Currantstall-Reason"       // a Refusal, with not_run
	HeaderChecksum     = "Currantstall-Checksum"     // of the answer's body, see Checksum
	HeaderRunTime      = "Currantstall-Took-Us"      // run time, µs
	HeaderState        = "Currantstall-State"        // of a look-up: a TaskState
	HeaderLeaving      = "Currantstall-Leaving"      // "true" while the target leaves
	HeaderClock        = "Currantstall-Clock"        // the target's Clock, on any answer
)

// Refusal says why a target did not run a task.
type Refusal string

// The refusals. Each is a proof that the task was not started and will not be
// by this start.
const (
	RefusedLeaving          Refusal = "leaving"
	RefusedLeaseExpired     Refusal = "lease_lapsed" // the start arrived after its HeaderNotAfter
	RefusedOtherIncarnation Refusal = "other_clock"  // HeaderNotAfter is of another run of the target
	RefusedFenced           Refusal = "fenced"       // a fence or a stop came first
	RefusedBusy             Refusal = "busy"         // no slot, and no room to wait for one
	RefusedBadRequest       Refusal = "bad_request"
)

// TaskState is what a target knows of a task.
type TaskState string

// The states of a task at a target.
const (
	// TaskUnknown is not a proof: a start may still be under way.
	TaskUnknown TaskState = "unknown"
	// TaskFenced means that the task was not started by this run of the
	// target and that a start that arrives later is refused.
	TaskFenced  TaskState = "fenced"
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done" // the answer follows as for a start
)

// RecordRetention is how long a target remembers a fence, and a task after its
// end. A fence proves something only for starts sent within this time.
const RecordRetention = 2 * time.Minute

// Clock is a reading of a target's monotonic clock. Readings of different runs
// of the target's process can't be compared.
type Clock struct {
	Incarnation string        // names the run of the process
	At          time.Duration // since the start of that run
}

// String returns <instance>/<µs>.
func (c Clock) String() string {
	return c.Incarnation + "/" + strconv.FormatInt(c.At.Microseconds(), 10)
}

// ParseClock is the inverse of String. It reports an error for other text.
func ParseClock(s string) (Clock, error) {
	incarnation, at, ok := strings.Cut(s, "/")
	if !ok || incarnation == "" {
		return Clock{}, fmt.Errorf("clock %.80q is not <instance>/<µs>", s)
	}
	us, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return Clock{}, fmt.Errorf("clock %.80q: %w", s, err)
	}
	return Clock{Incarnation: incarnation, At: time.Duration(us) * time.Microsecond}, nil
}

// Checksum returns the text of HeaderChecksum for a body: XXH64 in hex.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// TaskPath returns the path of one task.
func TaskPath(k key.Key, task int) string {
	return PathTasks + "/" + k.String() + "/" + strconv.Itoa(task)
}

// Usage is a target's report of what it runs. It lags behind.
type Usage struct {
	AgeMS int64             `json:"age_ms"` // how far the report lags behind
	Used  structs.Resources `json:"used"`
	Tasks []TaskUsage       `json:"tasks"` // the running ones
}

// TaskUsage is one running task in a Usage.
type TaskUsage struct {
	Key       key.Key           `json:"key"`
	Task      int               `json:"task"`
	Kind      string            `json:"kind"`
	RunningMS int64             `json:"running_ms"`
	Used      structs.Resources `json:"used"`
}
