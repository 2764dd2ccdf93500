package peer

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	// The proxy library leaves goroutines of a cut connection behind.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/stream.(*ChanWriter).Write"),
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/toxics.(*ToxicStub).Run"),
	)
}
