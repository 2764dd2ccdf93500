package target_test

import (
	"testing"

	"go.uber.org/goleak"

	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Configure(5, 200)
	goleak.VerifyTestMain(m)
}
