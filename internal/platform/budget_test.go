package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1, 2000) }

func TestCancelledBackgroundWriteReservesNoTokens(t *testing.T) {
	b := platform.NewWriteBudget(1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.NilError(t, b.Wait(ctx, 1))

	assert.Assert(t, b.Wait(platform.WithBackground(ctx), 1) != nil)

	foreground, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	assert.NilError(t, b.Wait(foreground, 1))
}
