// Command measure starts a deployment of real processes on loopback, drives it
// with open-loop load, and prints one line per figure: measure NAME VALUE UNIT.
// Run times are drawn with a fixed seed. The figures still vary with the
// machine, so quote ratios.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds the whole run.
const maxTime = 5 * time.Minute

func main() {
	binary := flag.String("binary", "bin/currantstall", "path of the built binary")
	quick := flag.Bool("quick", false, "measure the policy at 80% and the floods of the first user only")
	slopesOnly := flag.Bool("slopes", false, "measure what an entry costs by the number of entries, targets and requests instead")
	flag.Parse()
	if err := run(*binary, *quick, *slopesOnly); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(binary string, quick, slopesOnly bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "currantstall-measure-")
	if err != nil {
		return fmt.Errorf("create the log directory: %w", err)
	}
	fmt.Fprintln(os.Stderr, "logs in", dir)
	if slopesOnly {
		return measureSlopes(ctx, binary, dir)
	}
	m := &measurement{cluster: newCluster(binary, dir, []string{"dc-a", "dc-b", "dc-c"}), quick: quick}
	defer m.stop()
	return m.run(ctx)
}

// printFigure prints one result.
func printFigure(value float64, unit, format string, args ...any) {
	fmt.Printf("measure %s %.4g %s\n", fmt.Sprintf(format, args...), value, unit)
}
