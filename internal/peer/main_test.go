package peer

import (
	"testing"

	"go.uber.org/goleak"

	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Configure(1, 300)
	// The proxy library leaks goroutines of a cut connection.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/stream.(*ChanWriter).Write"),
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/toxics.(*ToxicStub).Run"),
	)
}
