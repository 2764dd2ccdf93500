// Package rapidtest fixes the settings of rapid for the tests of a package, so
// that their verdict is the same on every run. Only tests use it.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Fix sets the seed of the properties and the number of their checks, keeps
// rapid from writing files on a failure, and parses the command line, whose
// flags go before these. It panics if the binary does not hold rapid.
func Fix(seed uint64, checks int) {
	set("rapid.seed", strconv.FormatUint(seed, 10))
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	flag.Parse()
}

// Main is a TestMain that fixes the settings, runs the tests and exits.
func Main(m *testing.M, seed uint64, checks int) {
	Fix(seed, checks)
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
