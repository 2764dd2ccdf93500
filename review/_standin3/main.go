// Command standin3 plays the cases of the third review: it starts the processes of the system with stand-ins of the
// platform, runners and clients on loopback addresses, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

// A script exits with one of these.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the plays by name. Each returns the findings.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"other-kind":   otherKind,
	"silent-polls": silentPolls,
	"late-accept":  lateAccept,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE BINARY RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func play(name, binary, path string, trouble bool) int {
	w, err := newWorld(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	}
	findings, err := cases[name](w, trouble)
	w.close()
	if writeErr := w.rec.write(path, findings); writeErr != nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	}
	for _, f := range findings[:min(len(findings), 5)] {
		fmt.Println(f)
	}
	fmt.Printf("%s: trouble %v: %d findings\n", name, trouble, len(findings))
	if len(findings) > 0 {
		return broken
	}
	return held
}
