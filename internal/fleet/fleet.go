// Package fleet holds the vocabulary of pooled dispatch: the targets of a
// deployment, the queues of its configuration, the jobs that callers hand in
// and the orders that targets take.
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

// Target is one incarnation of a back end that runs tasks.
type Target struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Addr    string `cbor:"3,keyasint"` // host:port
	DC      string `cbor:"4,keyasint"`
	// Incarnation tells incarnations with the same ID apart; 0 if it is not known.
	Incarnation int64             `cbor:"5,keyasint"`
	Capacity    structs.Resources `cbor:"6,keyasint"`
	Labels      []string          `cbor:"7,keyasint,omitempty"`
	// Leaving targets finish what they run and get nothing new.
	Leaving bool `cbor:"8,keyasint,omitempty"`
}

// Rack returns the label of the target's rack, "" if it is not known.
func (t *Target) Rack() string {
	if len(t.Labels) < 2 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}

// HasLabel reports whether the target carries the label; the empty label is on all.
func (t *Target) HasLabel(label string) bool { return label == "" || slices.Contains(t.Labels, label) }

// Queue is one kind of work that callers may hand in.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Prefix  string `cbor:"3,keyasint"` // of the path
	Service string `cbor:"4,keyasint"` // whose targets run the tasks
	// Urgency orders the queues, 0 first.
	Urgency int `cbor:"5,keyasint"`
	// MaxAttempts is how often a task may fail before its job has failed.
	MaxAttempts int `cbor:"6,keyasint"`
	// NeedsTicket queues need the word of an adviser on where their tasks may run.
	NeedsTicket bool `cbor:"9,keyasint,omitempty"`
	// Stretch times a job's work plus Slack is the time in which its answer is
	// worth most.
	Stretch float64       `cbor:"7,keyasint"`
	Slack   time.Duration `cbor:"8,keyasint"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64   `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint"`
	// MaxBodyBytes bounds the body of a caller's request, in bytes; 0 sets no bound.
	MaxBodyBytes int64 `cbor:"3,keyasint"`
}

// QueueFor returns the queue of a host and path: the one with the longest prefix.
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

// Member is an entry as the platform's store names it.
type Member struct {
	Name string `cbor:"1,keyasint"`
	DC   string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"` // where peers dial it
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int               `cbor:"1,keyasint"`
	Needs    structs.Resources `cbor:"2,keyasint"` // of each task
	Estimate time.Duration     `cbor:"3,keyasint"` // of each task, as declared; may be far off
	// DependsOn lists the earlier steps whose tasks must all be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// RequiredLabel is one that the target must carry, if not empty.
	RequiredLabel string `cbor:"5,keyasint,omitempty"`
	// PreferredRack names the rack that holds the data, if not empty. Elsewhere the
	// tasks are slower.
	PreferredRack string `cbor:"6,keyasint,omitempty"`
	// MaxPerTarget bounds the tasks of the step on one target; 0 sets no bound.
	MaxPerTarget int `cbor:"7,keyasint,omitempty"`
	// Gang tasks run together or not at all, and end together.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack tasks are slower if they run on several racks.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// LongRunning tasks run until their job is cancelled, and start again however they end.
	LongRunning bool `cbor:"10,keyasint,omitempty"`
}

// Job is what a caller handed in: steps of tasks that are answered together.
type Job struct {
	ID    string `cbor:"1,keyasint"` // chosen by the caller; a copy carries the same
	Queue Queue  `cbor:"2,keyasint"`
	Spec  string `cbor:"3,keyasint"` // handed to each task as it is
	Steps []Step `cbor:"4,keyasint"`
	// Timeout is how long the caller waits for the answer, from the arrival.
	Timeout time.Duration `cbor:"5,keyasint"`
	// Stored jobs are accepted by storing them, and run to their end whoever is
	// lost; callers ask for their state.
	Stored bool `cbor:"6,keyasint,omitempty"`
	// Occurrences is how often the steps run, each time from its due time on; 0 for once,
	// at once.
	Occurrences int `cbor:"7,keyasint,omitempty"`
	// FirstDueMS is the first due time, Unix time in ms, and IntervalMS the time from one
	// to the next.
	FirstDueMS int64 `cbor:"8,keyasint,omitempty"`
	IntervalMS int64 `cbor:"9,keyasint,omitempty"`
}

// DueMS returns when an occurrence is due, Unix time in ms.
func (j *Job) DueMS(occurrence int) int64 { return j.FirstDueMS + int64(occurrence)*j.IntervalMS }

// OccurrenceID returns the ID under which an occurrence of a job runs.
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

// TaskCount returns the number of tasks of the job.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskID names a task of a job, or of an occurrence of one.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// String returns JOB.STEP.INDEX, as in logs.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Outcome is what the caller of a job is told.
type Outcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the advised wait before the job is handed in again.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Start orders a target to run a task.
type Start struct {
	Target Target
	Task   TaskID
	// Run numbers the starts of a task; a target refuses one that is not
	// higher than a run that it has stopped or seen ending.
	Run  int
	Spec string
	// Ticket is the adviser's leave to run the step there, where one is needed.
	Ticket string
	// Checkpoint is what the task's last run has saved, "" if nothing.
	Checkpoint string
	// LeaseUntilMS ends the right to run, in ms of the target's clock.
	LeaseUntilMS int64
	Fence        uint64
}

// Stop orders a target to end a run, or never to begin it.
type Stop struct {
	Target Target
	Task   TaskID
	Run    int
	Fence  uint64
}

// Hold renews the lease of all that runs on a target and asks for its lists.
type Hold struct {
	Target Target
	Fence  uint64
	// AckedEnd is the number of the last end that needs no repetition.
	AckedEnd int64
	// LeaseUntilMS is in ms of the target's clock; 0 renews nothing.
	LeaseUntilMS int64
	// Wait is how long the target may wait for an end before it answers.
	Wait time.Duration
}

// Answer says what a target did with an order.
type Answer uint8

// The answers of targets.
const (
	// Unanswered orders may have been carried out, or may be later.
	Unanswered Answer = iota
	Accepted
	// Fenced means that another owner has used a higher fence.
	Fenced
	// StaleRun means that the run's number is too low; nothing was started.
	StaleRun
	// TooLate means that the lease had passed already; nothing was started.
	TooLate
	// NoRoom means that the target would not take the task; nothing was started.
	NoRoom
	// Refused means that the target did nothing, for another reason.
	Refused
	// OtherIncarnation means that another incarnation answered; nothing was started.
	OtherIncarnation
	// InvalidTicket means that the ticket is not valid (any more); nothing was started.
	InvalidTicket
)

var answerNames = [...]string{"unanswered", "accepted", "fenced", "stale_run", "too_late", "no_room", "refused", "reborn", "no_ticket"}

// String returns the name used in logs.
func (a Answer) String() string { return answerNames[a] }

// Reply is a target's answer to a start or stop.
type Reply struct {
	Answer      Answer
	ClockMS     int64 // the target's, in ms; 0 if it was not told
	Incarnation int64 // 0 if it was not told
}

// Running is a line of a target's list of what runs.
type Running struct {
	Task        TaskID
	Run         int
	PercentDone int // of the work that is done
	// Checkpoint is the last that the run has saved, "" if none.
	Checkpoint string
}

// EndKind says how a run ended.
type EndKind uint8

// The ends of runs.
const (
	EndDone        EndKind = iota + 1
	EndFailed              // by its own fault or the target's
	EndInterrupted         // stopped, or its lease lapsed: says nothing of the task
)

// End is a line of a target's list of ended runs.
type End struct {
	Number     int64
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string // as in Running
}

// HoldReply is a target's answer to a Hold.
type HoldReply struct {
	Answer      Answer
	ClockMS     int64
	Incarnation int64
	Running     []Running
	Ended       []End
}

// AdviceRequest asks the adviser which targets may run a step.
type AdviceRequest struct {
	Step    TaskID // its Index has no meaning
	Targets []Target
}

// Advice is the adviser's answer.
type Advice struct {
	Request AdviceRequest
	// OK is false if there was no answer, or the adviser has too much to do.
	OK      bool
	Tickets map[string]string // by the target's ID; the others may not run the step
	Valid   time.Duration     // from the answer on
}

// Adviser says where tasks of advised queues may run. It answers one call at a time.
type Adviser interface {
	Advise(ctx context.Context, a AdviceRequest) Advice
}

// Targets carries orders to targets. Errors are part of the replies.
type Targets interface {
	Start(ctx context.Context, o Start) Reply
	Stop(ctx context.Context, o Stop) Reply
	Hold(ctx context.Context, o Hold) HoldReply
}
