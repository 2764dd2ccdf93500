package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/client"
	"currantstall/internal/structs"
)

// lookupWait is how long one status lookup waits for a running job to end.
const lookupWait = 20 * time.Second

// submitCmd sends one job, waits for it and prints its answers.
type submitCmd struct {
	Kind     string         `arg:"" help:"Kind of the job, as in the manifest."`
	Tasks    string         `arg:"" help:"Tasks: a JSON array with one body a task; @PATH reads a file and - the standard input."`
	Team     string         `required:"" placeholder:"NAME" help:"Team of the caller, as in the manifest."`
	Key      string         `placeholder:"KEY" help:"Key of the job; a resubmission has the same key. Default: the entry mints one."`
	Deadline *time.Duration `placeholder:"DURATION" help:"Time for the answer, such as 5s. Default: the kind's deadline."`
	Detach   bool           `help:"Print the key and do not wait for the answer."`
	remoteFlags
}

// Run implements the command.
func (c *submitCmd) Run() error {
	body, err := c.body()
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	job, err := cl.Submit(ctx, body)
	if err != nil {
		return err
	}
	if !c.Detach {
		job, err = awaitJob(ctx, cl, job)
	}
	if err != nil {
		return err
	}
	return printJSON(job)
}

func (c *submitCmd) body() (api.SubmissionBody, error) {
	text, err := readJSON(c.Tasks)
	if err != nil {
		return api.SubmissionBody{}, err
	}
	var tasks []json.RawMessage
	if err := json.Unmarshal(text, &tasks); err != nil {
		return api.SubmissionBody{}, errors.New("argument TASKS is not a JSON array")
	}
	if len(tasks) == 0 || len(tasks) > structs.MaxTasks {
		return api.SubmissionBody{}, fmt.Errorf("job has %d tasks, want 1 to %d", len(tasks), structs.MaxTasks)
	}
	s := api.SubmissionBody{Key: c.Key, Kind: c.Kind, Team: c.Team, Tasks: tasks, DeadlineMS: optionalMS(c.Deadline)}
	wait := lookupWait.Milliseconds()
	if c.Detach {
		wait = 0
	}
	s.WaitMS = &wait
	return s, nil
}

// awaitJob looks up a running job until it has ended.
func awaitJob(ctx context.Context, cl *client.Client, job api.SubmissionResponse) (api.SubmissionResponse, error) {
	var err error
	for job.Verdict == nil && err == nil {
		job, err = cl.Lookup(ctx, job.Key, lookupWait)
	}
	return job, err
}
