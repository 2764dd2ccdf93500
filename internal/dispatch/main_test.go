package dispatch

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	status := m.Run()
	if status == 0 {
		if err := goleak.Find(); err != nil {
			println("leaked goroutines:", err.Error())
			status = 1
		}
	}
	os.Exit(status)
}
