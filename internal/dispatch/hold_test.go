package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/internal/key"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// A non-repeatable task that keeps running after its deadline holds its
// reservation until it ends.
func TestReservationHeldUntilTaskEnds(t *testing.T) {
	f := newTestFleet(t, 1)
	k, err := key.New("rennes")
	assert.NilError(t, err)
	ranAtRelease := make(chan int, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()

	_, err = f.d.Do(ctx, Task{
		Start: target.Start{Key: k, Kind: "reservation", Body: []byte(`{"service_ms":1500}`)},
		First: Reservation{Addr: f.addrs[0], Release: func() { ranAtRelease <- f.runners[0].Running() }},
	})

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(ranAtRelease) == 0 {
			return poll.Continue("the reservation is held")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, <-ranAtRelease, 0)
	assert.Equal(t, len(f.runners[0].Starts()), 1)
}
