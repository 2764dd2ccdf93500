package engine

import (
	"context"
	"testing"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// FuzzReceive passes arbitrary message bodies from a peer to an engine without
// targets. The engine must not panic, and must not keep work that can never
// end.
func FuzzReceive(f *testing.F) {
	k, err := key.New("a")
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []struct {
		t    wire.Type
		body any
	}{
		{wire.Run, runBatch{Tasks: []taskSpec{{ID: 1, Class: structs.Request, Key: k, Kind: "unlock", Team: "north", Body: []byte("{}")}}}},
		{wire.RunDone, runDone{Results: []runResult{{ID: 1}}}},
		{wire.RunCancel, runCancel{IDs: []uint64{1}}},
		{wire.Forward, forward{ID: 1, Op: opSubmit, Key: k, Work: &structs.Work{Key: k, Class: structs.Job}}},
		{wire.Forward, forward{ID: 2, Op: opLookup, Key: k}},
		{wire.ForwardDone, forwardDone{ID: 1}},
		{wire.Load, loadReport{Class: structs.Request, Kinds: []kindLoad{{Kind: "unlock", Free: -1}}}},
	} {
		m, err := wire.NewMessage(seed.t, seed.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(m.Type), []byte(m.Body))
	}
	f.Add(uint8(wire.Run), []byte{0xff})
	n := newFakeNet()
	e := n.startEngine(f, "e1", "a", newFakeClaims())
	f.Fuzz(func(_ *testing.T, t uint8, body []byte) {
		_ = e.Receive("e2", wire.Message{Type: wire.Type(t), Body: body})
	})
	f.Cleanup(func() {
		e.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := e.Drain(ctx); err != nil {
			f.Error("work in flight never ended:", err)
		}
	})
}
