// Command currantstall is a dispatcher for sub-second tasks: it stands
// between callers and the targets that run their requests and jobs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// exitUsage is the status for a wrong setting.
const exitUsage = 2

// cli holds one field for each command; the command's own file declares it.
type cli struct {
	Entry   entryCmd   `cmd:"" help:"Run an entry: serve callers, peers and operators."`
	Load    loadCmd    `cmd:"" help:"Send work at a steady rate and print what became of it."`
	Version versionCmd `cmd:"" help:"Print the version."`
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
		return 1
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "currantstall:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "currantstall:", err)
		return 1
	}
	return 0
}
