// Command review-2 plays one case of the second review: it starts entries as separate processes with the
// command of the deploy file, serves them stand-ins of the platform's store and of runners, sends jobs as a
// client would, and judges what clients and runners have seen.
//
// Usage: review-2 CASE FOLDER. It writes FOLDER/record.txt. The exit status is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// play is a case. It returns whether the rule was broken, and an error if that could not be judged.
type play func(w *world) (broken bool, err error)

var plays = map[string]play{
	"leader-restarts": leaderRestarts,
	"store-slow":      storeSlow,
	"large-failed":    largeFailed,
	"large-added":     largeAdded,
	"cancel":          cancelElsewhere,
}

// longest is how long a case may run before it is given up. The limit for a script is 120 s.
const longest = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	runtime.LockOSThread() // the entries are killed with the thread that has started them
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.add("could not run: %v", err)
		return 2
	}
	w := &world{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer os.RemoveAll(dir)
	defer w.end()
	ended := make(chan int, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		broken, err := plays[os.Args[1]](w)
		switch {
		case err != nil:
			rec.add("could not run: %v", err)
			ended <- 2
		case broken:
			rec.add("the rule was broken")
			ended <- 1
		default:
			rec.add("the rule held")
			ended <- 0
		}
	}()
	select {
	case code := <-ended:
		return code
	case <-signals:
		rec.add("could not run: ended by a signal")
	case <-time.After(longest):
		rec.add("could not run: not over after %v", longest)
	}
	return 2
}
