package node

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
)

const mbps = 1e6 / 8 // bytes per second

func newLane(bytesPerSecond float64) *startLane {
	return &startLane{bytesPerSecond: bytesPerSecond, delegatedBytes: map[string]int{}}
}

func orderOf(coordinator string) fleet.Start {
	return fleet.Start{Coordinator: coordinator, Spec: strings.Repeat("s", 2400)}
}

// distribute gives the orders of jobs of eight tasks to a lane, a job for each coordinator,
// and returns how many each entry sends. None is answered meanwhile.
func distribute(l *startLane, coordinators ...string) map[string]int {
	by := map[string]int{}
	for _, c := range coordinators {
		for range 8 {
			o := orderOf(c)
			if l.delegates("self", &o) {
				l.delegated(c, orderBytes(&o))
				by[c]++
				continue
			}
			l.push(laneOrder{order: o})
			by["self"]++
		}
	}
	return by
}

// The leaders of a deployment of VMs with 2 Mbit/s could not send the start orders: 511
// orders a second of 2.4 KB each. Links were closed as silent and nothing was served.
func TestNarrowLinkSharesOrdersWithCoordinators(t *testing.T) {
	by := distribute(newLane(2*mbps), "a")
	assert.Assert(t, by["a"] >= 3 && by["self"] >= 3, "%v", by)
	by = distribute(newLane(2*mbps), "a", "b", "c", "d")
	for _, c := range []string{"b", "c", "d"} {
		assert.Assert(t, by[c] >= 5, "%v", by)
	}
}

func TestWideLinkSendsItsOwnOrders(t *testing.T) {
	for _, rate := range []float64{0, 200 * mbps, 1000 * mbps} {
		by := distribute(newLane(rate), "a", "b", "c")
		assert.DeepEqual(t, by, map[string]int{"self": 24})
	}
}

func TestOwnCallersOrdersAreNotDelegated(t *testing.T) {
	assert.DeepEqual(t, distribute(newLane(1*mbps), "self"), map[string]int{"self": 8})
	assert.DeepEqual(t, distribute(newLane(1*mbps), ""), map[string]int{"self": 8})
}

// Heartbeats share the link: no more than laneTime of orders may be on it, but for a single
// order that is larger than that.
func TestLaneLeavesTheLinkFreeForHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "mbps") * mbps
		l := newLane(rate)
		var sent []laneOrder
		pushed := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(sent) > 0 && rapid.Bool().Draw(t, "answer") {
				l.answered(&sent[0])
				sent = sent[1:]
			} else {
				l.push(laneOrder{order: fleet.Start{Spec: strings.Repeat("s", rapid.IntRange(0, 4000).Draw(t, "spec"))}})
				pushed++
			}
			for o, ok := l.next(); ok; o, ok = l.next() {
				sent = append(sent, o)
			}
			bytes := 0
			for _, o := range sent {
				bytes += orderBytes(&o.order)
			}
			assert.Equal(t, bytes, l.sentBytes)
			assert.Assert(t, len(sent) <= 1 || float64(bytes) <= rate*laneTime.Seconds())
			assert.Assert(t, len(l.waiting) == 0 || len(sent) > 0, "an idle link leaves no order waiting")
		}
	})
}
