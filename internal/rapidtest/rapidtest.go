// Package rapidtest fixes the settings of rapid for the tests of a package, so
// that their verdict is the same on every run. Only tests use it.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Configure sets the seed of the properties and the number of their checks, keeps
// rapid from writing files on a failure, and parses the command line, whose
// flags go before these. It panics if the binary does not hold rapid.
func Configure(seed uint64, checks int) {
	setFlag("rapid.seed", strconv.FormatUint(seed, 10))
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.nofailfile", "true")
	flag.Parse()
}

// Main is a TestMain that fixes the settings, runs the tests and exits.
func Main(m *testing.M, seed uint64, checks int) {
	Configure(seed, checks)
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
