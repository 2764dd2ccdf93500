// Package fleet defines the types that pooled dispatch shares: the targets of a
// deployment, the queues of its configuration, the jobs that callers submit and
// the orders that targets carry out.
package fleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Target is one incarnation of a runner or worker process, which runs tasks.
type Target struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Addr    string `cbor:"3,keyasint"` // host:port
	DC      string `cbor:"4,keyasint"`
	// Incarnation distinguishes processes that run under the same ID; 0 if it
	// is unknown.
	Incarnation int64             `cbor:"5,keyasint"`
	Capacity    structs.Resources `cbor:"6,keyasint"`
	Labels      []string          `cbor:"7,keyasint,omitempty"`
	// Leaving targets finish their current runs and receive no new ones.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// ColdFor is how much longer the target remains slow after its start, as of when its row was written.
	ColdFor time.Duration `cbor:"9,keyasint,omitempty"`
	// Intake is what the entry itself decides on the target; it is not sent.
	Intake Intake `cbor:"-"`
}

// Rack returns the label of the target's rack, "" if it is unknown.
func (t *Target) Rack() string {
	if len(t.Labels) < 2 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}

// HasLabel reports whether the target carries the label. Every target carries
// the empty label.
func (t *Target) HasLabel(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// Queue is a kind of work that callers may submit.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Prefix  string `cbor:"3,keyasint"` // of the URL path
	Service string `cbor:"4,keyasint"` // the service whose targets run the tasks
	// Urgency orders the queues; 0 is the most urgent.
	Urgency int `cbor:"5,keyasint"`
	// MaxAttempts is the number of failures of one task at which its job fails.
	MaxAttempts int `cbor:"6,keyasint"`
	// NeedsTicket requires a ticket of the adviser for each start of a task.
	NeedsTicket bool `cbor:"9,keyasint,omitempty"`
	// Stretch and Slack set the time within which an answer has its highest
	// value: Stretch times the job's work, plus Slack.
	Stretch float64       `cbor:"7,keyasint"`
	Slack   time.Duration `cbor:"8,keyasint"`
	// Share is the part of the room of its service that the queue is guaranteed while it has
	// work, from 0 to 1; 0 if the operator sets none.
	Share float64 `cbor:"10,keyasint,omitempty"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64   `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	// MaxBodyBytes limits the body of a caller's request; 0 means no limit.
	MaxBodyBytes int64 `cbor:"3,keyasint"`
}

// QueueFor returns the queue with the longest prefix that matches the host and
// the path, nil if there is none.
func (c *Config) QueueFor(host, path string) *Queue {
	if c == nil {
		return nil
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// Member is an entry as listed in the platform's store.
type Member struct {
	Name string `cbor:"1,keyasint"`
	DC   string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"` // host:port that peers dial
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count    int               `cbor:"1,keyasint"`
	Needs    structs.Resources `cbor:"2,keyasint"` // of each task
	Estimate time.Duration     `cbor:"3,keyasint"` // declared run time of each task; may be far off
	// DependsOn lists the earlier steps whose tasks must all be done before a
	// task of this step starts.
	DependsOn []uint16 `cbor:"4,keyasint,omitempty"`
	// RequiredLabel, if not empty, is a label that the target must carry.
	RequiredLabel string `cbor:"5,keyasint,omitempty"`
	// PreferredRack, if not empty, names the rack that holds the data. Tasks are
	// slower on other racks.
	PreferredRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerTarget limits the tasks of the step on one target; 0 means no limit.
	MaxPerTarget int `cbor:"7,keyasint,omitempty"`
	// Gang tasks run together or not at all, and end together.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack tasks are slower if they are spread over several racks.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// LongRunning tasks run until their job is cancelled. They are started again
	// whenever a run ends, however it ended.
	LongRunning bool `cbor:"10,keyasint,omitempty"`
}

// Job is a caller's submission: steps of tasks that get one answer together.
type Job struct {
	ID    string `cbor:"1,keyasint"` // chosen by the caller; duplicates carry the same ID
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint"` // passed to each task unchanged
	Steps []Step `cbor:"4,keyasint"`
	// Timeout is how long the caller waits for the answer, counted from the
	// job's arrival.
	Timeout time.Duration `cbor:"5,keyasint"`
	// CallerLeaves is set if the caller has stated the Timeout itself: it leaves then, and may
	// submit the job again at any entry.
	CallerLeaves bool `cbor:"10,keyasint,omitempty"`
	// Stored jobs are accepted by writing them to the store. They run to their
	// end even if entries or targets are lost; callers ask for their state.
	Stored bool `cbor:"6,keyasint,omitempty"`
	// Occurrences is how often the steps of a recurring job run, each time from
	// its due time on; 0 means once, immediately.
	Occurrences int `cbor:"7,keyasint,omitempty"`
	// FirstDueMS is the first due time, Unix time in ms; IntervalMS is the time
	// from one due time to the next.
	FirstDueMS int64 `cbor:"8,keyasint,omitempty"`
	IntervalMS int64 `cbor:"9,keyasint,omitempty"`
}

// DueMS returns the due time of an occurrence, Unix time in ms.
func (j *Job) DueMS(occurrence int) int64 { return j.FirstDueMS + int64(occurrence)*j.IntervalMS }

// OccurrenceID returns the job ID under which an occurrence runs: the first has
// the ID of the job itself.
func OccurrenceID(job string, occurrence int) string {
	if occurrence == 0 {
		return job
	}
	return job + "." + strconv.Itoa(occurrence)
}

// BaseJobID returns the ID of the job that an occurrence belongs to.
func BaseJobID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

// The memory of a job and of each of its steps, without what they refer to, in bytes.
const (
	jobBytes  = 512
	stepBytes = 128
)

// MemoryBytes returns about how much memory the job takes, in bytes.
func (j *Job) MemoryBytes() int64 {
	n := jobBytes + len(j.ID) + len(j.Spec) + stepBytes*len(j.Steps)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.RequiredLabel) + len(s.PreferredRack) + 2*len(s.DependsOn)
	}
	return int64(n)
}

// TaskCount returns the number of tasks in all steps of the job.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// MilliCPU returns the CPU that all tasks of the job need together, in thousandths of a
// core.
func (j *Job) MilliCPU() int64 {
	var sum int64
	for i := range j.Steps {
		sum += int64(j.Steps[i].Count) * j.Steps[i].Needs.MilliCPU
	}
	return sum
}

// TaskID identifies a task of a job, or of an occurrence of a recurring job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// String returns JOB.STEP.INDEX, as in logs.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Outcome is the final answer to the caller of a job.
type Outcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// RetryAfter is how long the caller should wait before it submits again.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Start is the order to a target to run a task.
type Start struct {
	Target Target
	Task   TaskID
	// Run numbers the starts of a task. A target refuses a start whose number
	// is not higher than that of a run that it has stopped or that has ended.
	Run  int
	Spec string
	// Coordinator is the entry that has the job's caller, "" if there is none. It can send
	// the order too.
	Coordinator string
	// Ticket is the adviser's permission to run the step on this target, if the
	// queue needs one.
	Ticket string
	// Checkpoint is the last one that the task's previous run saved, "" if none.
	Checkpoint string
	// LeaseUntilMS is when the lease of the run expires, in ms of the target's
	// clock.
	LeaseUntilMS int64
	Fence        uint64
	// Number is that of the order, chosen by the sender, which tells its answers apart.
	Number uint64
}

// Stop is the order to a target to end a run, or never to begin it.
type Stop struct {
	Target Target
	Task   TaskID
	Run    int
	Fence  uint64
}

// Hold is the order to a target to renew the lease of all its runs and to
// return its lists of current and ended runs.
type Hold struct {
	// Number identifies the order at its sender, which matches the answer to it by that.
	// The target does not get it.
	Number uint64
	Target Target
	Fence  uint64
	// AckedEnd acknowledges the ended runs up to this number; the target need
	// not list them again.
	AckedEnd int64
	// LeaseUntilMS is in ms of the target's clock; 0 renews nothing.
	LeaseUntilMS int64
	// Wait is how long the target may wait for a run to end before it answers.
	Wait time.Duration
}

// Answer is the result of an order at its target.
type Answer uint8

// The answers of targets.
const (
	// Unanswered means that no answer arrived: the order may have been carried
	// out, or may be later.
	Unanswered Answer = iota
	Accepted
	// Fenced means that another owner has used a higher fencing token.
	Fenced
	// StaleRun means that the run's number is too low; nothing was started.
	StaleRun
	// TooLate means that the lease had already expired; nothing was started.
	TooLate
	// NoRoom means that the target did not accept the task for lack of room;
	// nothing was started.
	NoRoom
	// Refused means that the target did nothing, for another reason.
	Refused
	// OtherIncarnation means that another incarnation of the target answered;
	// nothing was started.
	OtherIncarnation
	// InvalidTicket means that the ticket is not, or no longer, valid; nothing
	// was started.
	InvalidTicket
	// NotSent means that the order did not and will not leave the entry that was to send
	// it; nothing was started.
	NotSent
	// Unreachable means that no connection to the target could be used, so that the order
	// was not sent; nothing was started.
	Unreachable
	answers
)

// Answers returns all answers.
func Answers() []Answer {
	all := make([]Answer, answers)
	for i := range all {
		all[i] = Answer(i)
	}
	return all
}

var answerNames = [answers]string{"unanswered", "accepted", "fenced", "stale_run", "too_late", "no_room", "refused", "reborn", "no_ticket", "not_sent", "unreachable"}

// String returns the name used in logs.
func (a Answer) String() string {
	if a >= answers {
		return "unknown"
	}
	return answerNames[a]
}

// Reply is a target's answer to a start or stop.
type Reply struct {
	Answer      Answer
	ClockMS     int64 // the target's clock; 0 if the reply lacks it
	Incarnation int64 // 0 if the reply lacks it
}

// Running is an item of a target's list of current runs.
type Running struct {
	Task        TaskID
	Run         int
	PercentDone int // of the work that is done
	// Checkpoint is the last one that the run saved, "" if none.
	Checkpoint string
}

// EndKind classifies the end of a run.
type EndKind uint8

// The ends of runs.
const (
	EndDone        EndKind = iota + 1
	EndFailed              // through a fault of the task or of the target
	EndInterrupted         // stopped, or its lease expired: no evidence of a fault of the task
)

// End is an item of a target's list of ended runs.
type End struct {
	Number     int64
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string // as in Running
}

// Contact is what an unanswered order shows of its target.
type Contact uint8

// The contacts with a target that does not answer.
const (
	// ContactUnknown: the order went over a connection from before.
	ContactUnknown Contact = iota
	// NotConnected: no new connection came about, though the entry has tried in time.
	NotConnected
	// Connected: the target's VM has accepted a new connection. Only the process that runs the
	// tasks there does not answer.
	Connected
	// ContactMissed: the entry has not tried to connect in time, or may have noticed too late that it was
	// connected. The target may be as with Connected.
	ContactMissed
)

var contactNames = [...]string{"unknown", "not_connected", "connected", "missed"}

// String returns the name used in logs.
func (c Contact) String() string {
	if int(c) >= len(contactNames) {
		return "invalid"
	}
	return contactNames[c]
}

// HoldReply is a target's answer to a Hold.
type HoldReply struct {
	Answer      Answer
	Contact     Contact // if unanswered
	ProcessGone bool    // if unanswered: a new connection was refused, or ended at once
	Refused     bool    // if unanswered: the kernel of the target's VM has refused a new connection
	ClockMS     int64
	Incarnation int64
	Running     []Running
	Ended       []End
}

// AdviceRequest asks the adviser which targets may run a step.
type AdviceRequest struct {
	Step    TaskID // Index is unused
	Targets []Target
}

// Advice is the adviser's answer to a request.
type Advice struct {
	Request AdviceRequest
	// OK is false if there was no answer or the adviser is overloaded.
	OK      bool
	Tickets map[string]string // by target ID; targets without a ticket may not run the step
	Valid   time.Duration     // from the answer on
}

// Adviser decides which targets may run the tasks of queues with NeedsTicket. It
// answers one call at a time.
type Adviser interface {
	Advise(ctx context.Context, r AdviceRequest) Advice
}

// Targets sends orders to targets. Failures are part of the replies.
type Targets interface {
	Start(ctx context.Context, o Start) Reply
	Stop(ctx context.Context, o Stop) Reply
	Hold(ctx context.Context, o Hold) HoldReply
}
