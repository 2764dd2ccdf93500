package taskserver

import (
	"encoding/json"
	"fmt"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// Spec is the optional content of a task's body, as JSON. A task with another
// body runs as if it had none of the fields.
type Spec struct {
	ServiceMS   float64           `json:"service_ms,omitempty"` // run time on an idle target
	Uses        structs.Resources `json:"uses,omitzero"`        // actual usage; default: the declared needs
	Fail        bool              `json:"fail,omitempty"`       // the task runs, then fails
	AnswerBytes int               `json:"answer_bytes,omitempty"`
}

// Result is the body of a completed task's answer.
type Result struct {
	Key    key.Key `json:"key"`
	Task   int     `json:"task"`
	Kind   string  `json:"kind"`
	Target string  `json:"target"`
	Digest string  `json:"digest"` // target.Checksum of the task's body
	Pad    string  `json:"pad,omitempty"`
}

// TaskID identifies a task of a key.
type TaskID struct {
	Key  key.Key `json:"key"`
	Task int     `json:"task"`
}

func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Key, id.Task) }

// state is the state of a record.
type state uint8

const (
	queued state = iota + 1
	running
	done
	refused
	fenced
)

// record is what a target stores about one task.
type record struct {
	id          TaskID
	kind        string
	spec        Spec
	digest      string
	serviceTime time.Duration
	needs       structs.Resources
	notAfter    *target.Clock

	state   state
	refusal target.Refusal
	started time.Time
	ended   time.Time
	verdict verdict.Verdict
	body    []byte
	settled chan struct{} // closed when the task is done or refused

	finishWork float64 // executor.workDone at which the task is done, s
	heapIndex  int     // in executor.tasks
}

// finish sets the outcome of a task that ran.
func (r *record) finish(v verdict.Verdict, body []byte, now time.Time) {
	r.state, r.verdict, r.body, r.ended = done, v, body, now
	close(r.settled)
}

// refuse sets the outcome of a task that did not run.
func (r *record) refuse(reason target.Refusal, now time.Time) {
	r.state, r.refusal, r.ended = refused, reason, now
	close(r.settled)
}

// result returns the body of the task's answer.
func (r *record) result(vm string) []byte {
	res := Result{Key: r.id.Key, Task: r.id.Task, Kind: r.kind, Target: vm, Digest: r.digest}
	if n := r.spec.AnswerBytes; n > 0 {
		pad := make([]byte, n)
		for i := range pad {
			pad[i] = 'x'
		}
		res.Pad = string(pad)
	}
	b, err := json.Marshal(res)
	if err != nil {
		return []byte(err.Error())
	}
	return b
}
