package dispatch

import (
	"testing"

	"go.uber.org/goleak"

	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Configure(5, 300)
	goleak.VerifyTestMain(m)
}
