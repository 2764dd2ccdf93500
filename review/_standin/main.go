// Command reviewcase plays one case of the review with real processes of the project, on
// loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	reason string
}

type caseFunc struct {
	attempts int // of the queue
	play     func(c *cluster, trouble bool) (verdict, error)
}

var cases = map[string]caseFunc{
	"silent-feed":  {4, silentFeed},
	"attempts":     {2, failuresAroundTakeover},
	"lasting-done": {4, lastingTaskEndsDuringTakeover},
	"lasting-gone": {4, lastingTaskOnLostRunner},
	"healed-zone":  {4, healedZone},
	"replaced":     {4, replacedRunners},
	"pending":      {4, pendingWithRefusedStarts},
	"may-miss":     {4, mayMissInStoreOutage},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	cf, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	c, err := start(root, dir, rec, cf.attempts)
	if c != nil {
		defer c.stop()
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	v, done := verdict{}, make(chan struct{})
	if err == nil {
		go func() {
			defer close(done)
			v, err = cf.play(c, trouble)
		}()
		select {
		case <-done:
		case <-interrupted:
			err = fmt.Errorf("interrupted")
		case <-time.After(100 * time.Second):
			err = fmt.Errorf("the case took too long")
		}
	}
	rec.add("verdict", "broken", v.broken, "reason", v.reason, "err", fmt.Sprint(err))
	if saveErr := rec.save(recordPath); err == nil {
		err = saveErr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		fmt.Println("broken:", v.reason)
		return 1
	}
	fmt.Println("held:", v.reason)
	return 0
}
