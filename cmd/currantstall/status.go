package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"currantstall/internal/api"
)

// statusCmd prints the status of an entry.
type statusCmd struct {
	JSON bool `name:"json" help:"Print JSON."`
	remoteFlags
}

// Run implements the command.
func (c *statusCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	s, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	return writeStatus(os.Stdout, s)
}

func writeStatus(out io.Writer, s api.Status) error {
	var members []string
	for _, m := range s.View.Members {
		members = append(members, m.Name)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s in %s\n", s.Name, s.DC)
	fmt.Fprintf(w, "state\t%s, ready %t\n", s.State, s.Ready)
	fmt.Fprintf(w, "manifest\tversion %d\n", s.ManifestVersion)
	fmt.Fprintf(w, "view\tversion %d: %s\n", s.View.Version, strings.Join(members, " "))
	fmt.Fprintf(w, "links\t%s\n", strings.Join(s.Links, " "))
	fmt.Fprintf(w, "targets\t%d known, %d owned, %d ejected, %d leaving\n",
		s.Targets.Known, s.Targets.Owned, s.Targets.Ejected, s.Targets.Leaving)
	fmt.Fprintf(w, "process\t%d goroutines, %d bytes of heap\n", s.Goroutines, s.HeapBytes)
	for _, k := range s.Kinds {
		fmt.Fprintf(w, "kind %s\t%d queued, %d running\n", k.Kind, k.Queued, k.Running)
	}
	return w.Flush()
}
