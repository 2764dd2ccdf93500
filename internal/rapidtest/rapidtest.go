// Package rapidtest sets the seed and the number of checks of rapid for the tests
// of a package, so that every run has the same result. Only tests use it.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Configure sets the seed and the number of checks of the property tests, keeps
// rapid from writing files on a failure, and then parses the command line, whose
// flags override these settings. It panics if rapid is not linked into the
// binary.
func Configure(seed uint64, checks int) {
	setFlag("rapid.seed", strconv.FormatUint(seed, 10))
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.nofailfile", "true")
	flag.Parse()
}

// Main is a TestMain that calls Configure, runs the tests and exits.
func Main(m *testing.M, seed uint64, checks int) {
	Configure(seed, checks)
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
