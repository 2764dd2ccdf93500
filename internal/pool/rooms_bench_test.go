package pool

import (
	"fmt"
	"testing"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// BenchmarkUnchangedTargets lists 19,000 targets in 640 racks again, as each read of the list does, and reports the
// size of the record of rooms in a message.
func BenchmarkUnchangedTargets(b *testing.B) {
	list := make([]fleet.Target, 19_000)
	for i := range list {
		list[i] = fleet.Target{
			ID: fmt.Sprint("t", i), Service: fmt.Sprint("service-", i%3), Labels: []string{fmt.Sprint("kind-", i%4), fmt.Sprint("rack-", i%640)},
			Capacity: structs.Resources{MilliCPU: 32000 + int64(i%5)*1000, MemoryMB: 1<<17 - int64(i%7)},
		}
	}
	p := New(DefaultSettings(), nil)
	p.SetTargets(time.Second, list)
	for b.Loop() {
		p.SetTargets(2*time.Second, list)
	}
	message, err := wire.Encode(p.rooms.Known())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(message)), "bytes/message")
	b.ReportMetric(float64(len(p.rooms.Known())), "rooms")
}
