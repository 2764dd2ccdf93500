// Command currantstall is a dispatcher for sub-second tasks: it stands
// between callers and the targets that run their requests and jobs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"currantstall/internal/verdict"
)

// Exit statuses of the command. A request that was refused or failed exits with
// the status of its verdict.
const (
	exitError      = 1 // any other error
	exitUsage      = 2 // invalid arguments or settings
	exitNotRun     = 3
	exitMayHaveRun = 4
	exitFailed     = 5
)

// cli is the command line. It has one field for each command, whose type is
// declared in a file of its own.
type cli struct {
	Demo     demoCmd     `cmd:"" help:"Run a whole deployment in this process and check the guarantees to callers on it."`
	Entry    entryCmd    `cmd:"" help:"Run an entry: serve callers, peers and operators."`
	Serve    serveCmd    `cmd:"" help:"Run an entry on the users' platform."`
	Load     loadCmd     `cmd:"" help:"Send work at a steady rate and print a report of the outcomes."`
	Manifest manifestCmd `cmd:"" help:"Check, apply, show or compare the operators' manifest."`
	Request  requestCmd  `cmd:"" help:"Send one request and print its answer."`
	Submit   submitCmd   `cmd:"" help:"Send one job and print its answers."`
	Cancel   cancelCmd   `cmd:"" help:"Cancel the tasks of a key that have not started and print its outcome."`
	Key      keyCmd      `cmd:"" help:"Mint keys, which make a resubmission safe."`
	Status   statusCmd   `cmd:"" help:"Print the status of an entry."`
	Account  accountCmd  `cmd:"" help:"Read the account of work that ran, or claim keys in it."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in for the platform or for a target."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the arguments, runs the command and returns the exit status.
func run(args []string) int {
	var c cli
	parser, err := kong.New(&c,
		kong.Name("currantstall"),
		kong.Description("A dispatcher for sub-second tasks."),
		kong.DefaultEnvars("CURRANTSTALL"),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "currantstall:", err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "currantstall:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "currantstall:", err)
		return exitStatus(err)
	}
	return 0
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return exitError
	}
	switch e.Verdict {
	case verdict.NotRun:
		return exitNotRun
	case verdict.Failed:
		return exitFailed
	}
	return exitMayHaveRun
}
