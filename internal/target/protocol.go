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

// Paths of the target protocol, which docs/design/targets.md describes.
const (
	PathTasks = "/v1/tasks" // POST starts a task; below it: <key>/<task>
	PathFence = "/fence"    // POST below a task: a lookup that makes the target refuse a later start
	PathClock = "/v1/clock" // GET returns no body, only the clock header
	PathUsage = "/v1/usage" // GET returns a Usage
	QueryWait = "wait_ms"   // on a lookup: how long to wait for a running task to end
)

// Headers of requests and responses.
const (
	HeaderKey          = "Currantstall-Key"
	HeaderTask         = "Currantstall-Task"
	HeaderKind         = "Currantstall-Kind"
	HeaderDeadline     = "Currantstall-Deadline-Ms"  // time left when the start was sent, ms
	HeaderNotAfter     = "Currantstall-Not-After"    // end of the sender's lease, a Clock
	HeaderMilliCPU     = "Currantstall-Milli-Cpu"    // declared on a start, used on an answer
	HeaderMemory       = "Currantstall-Memory-Mb"    // likewise, MiB
	HeaderAccelerators = "Currantstall-Accelerators" // likewise
	HeaderVerdict      = "Currantstall-Verdict"      // completed, failed or not_run
	HeaderReason       = "Currantstall-Reason"       // a Refusal, with not_run
	HeaderChecksum     = "Currantstall-Checksum"     // of the answer's body, see Checksum
	HeaderRunTime      = "Currantstall-Took-Us"      // run time, µs
	HeaderState        = "Currantstall-State"        // on the response to a lookup: a TaskState
	HeaderLeaving      = "Currantstall-Leaving"      // "true" while the target is leaving
	HeaderClock        = "Currantstall-Clock"        // the target's Clock, on every response
)

// Refusal is the reason why a target did not run a task.
type Refusal string

// The refusals. Each proves that the task was not and will not be started by the
// refused start.
const (
	RefusedLeaving          Refusal = "leaving"
	RefusedLeaseExpired     Refusal = "lease_lapsed" // the start arrived after its HeaderNotAfter
	RefusedOtherIncarnation Refusal = "other_clock"  // HeaderNotAfter names another incarnation of the target
	RefusedFenced           Refusal = "fenced"       // a fence or stop for the task arrived first
	RefusedBusy             Refusal = "busy"         // no free slot and no room in the queue
	RefusedBadRequest       Refusal = "bad_request"
)

// TaskState is the state of a task as its target reports it.
type TaskState string

// The states of a task at a target.
const (
	// TaskUnknown proves nothing: a start may still be in flight.
	TaskUnknown TaskState = "unknown"
	// TaskFenced means that this incarnation of the target has not started
	// the task and will refuse a start that arrives later.
	TaskFenced  TaskState = "fenced"
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done" // the response carries the answer, as for a start
)

// RecordRetention is how long a target keeps the record of a fence, and of a task
// after its end. A fence is a proof only for starts sent within this time.
const RecordRetention = 2 * time.Minute

// Clock is a reading of a target's monotonic clock. Readings of different
// incarnations of the target can't be compared.
type Clock struct {
	Incarnation string        // identifies the target's process
	At          time.Duration // since the start of that process
}

// String returns <incarnation>/<µs>.
func (c Clock) String() string {
	return c.Incarnation + "/" + strconv.FormatInt(c.At.Microseconds(), 10)
}

// ParseClock parses the output of Clock.String. It returns an error for other text.
func ParseClock(s string) (Clock, error) {
	incarnation, at, ok := strings.Cut(s, "/")
	if !ok || incarnation == "" {
		return Clock{}, fmt.Errorf("clock %.80q is not of the form <incarnation>/<µs>", s)
	}
	us, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return Clock{}, fmt.Errorf("parse time of clock %.80q: %w", s, err)
	}
	return Clock{Incarnation: incarnation, At: time.Duration(us) * time.Microsecond}, nil
}

// Checksum returns the value of HeaderChecksum for a body: its XXH64 in hex.
func Checksum(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// TaskPath returns the URL path of one task.
func TaskPath(k key.Key, task int) string {
	return PathTasks + "/" + k.String() + "/" + strconv.Itoa(task)
}

// Usage is a target's report of its running tasks and the capacity they use. It
// may be out of date by AgeMS.
type Usage struct {
	AgeMS int64             `json:"age_ms"` // age of the report, ms
	Used  structs.Resources `json:"used"`
	Tasks []TaskUsage       `json:"tasks"` // the running tasks
}

// TaskUsage is one running task in a Usage.
type TaskUsage struct {
	Key       key.Key           `json:"key"`
	Task      int               `json:"task"`
	Kind      string            `json:"kind"`
	RunningMS int64             `json:"running_ms"`
	Used      structs.Resources `json:"used"`
}
