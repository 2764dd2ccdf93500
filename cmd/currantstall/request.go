package main

import (
	"time"

	"currantstall/internal/api"
)

// requestCmd sends one request and prints its answer.
type requestCmd struct {
	Kind     string         `arg:"" help:"Kind of the request, as in the manifest."`
	Body     string         `arg:"" optional:"" default:"{}" help:"Body, any JSON; @PATH reads a file and - the standard input."`
	Team     string         `required:"" placeholder:"NAME" help:"Team of the caller, as in the manifest."`
	Key      string         `placeholder:"KEY" help:"Key of the request; a resubmission has the same key. Default: the entry mints one."`
	Deadline *time.Duration `placeholder:"DURATION" help:"Time for the answer, such as 800ms. Default: the kind's deadline."`
	remoteFlags
}

// Run implements the command.
func (c *requestCmd) Run() error {
	body, err := readJSON(c.Body)
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := cl.Request(ctx, api.RequestBody{
		Key:        c.Key,
		Kind:       c.Kind,
		Team:       c.Team,
		Body:       body,
		DeadlineMS: optionalMS(c.Deadline),
	})
	if err != nil {
		return err
	}
	return printJSON(answer)
}
