package claims

import (
	"testing"

	"currantstall/internal/ledger"
	"currantstall/internal/membership"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// FuzzReceive passes arbitrary message bodies from another member to a member
// of a view in force. It must neither panic nor stop responding.
func FuzzReceive(f *testing.F) {
	n := newNetwork()
	rts := n.startThreeEntries(f)
	from := rts[1].Snapshot().Self
	to := rts[0].Snapshot().Self.Incarnation
	id := [16]byte{1}
	for _, seed := range []struct {
		t    wire.Type
		body any
	}{
		{wire.Membership, heartbeatMessage{From: from.Incarnation, To: to, Heartbeat: membership.Heartbeat{Token: 1, Promise: true, KnownVersion: 1}}},
		{wire.Ledger, ledger.Batch{From: from.Incarnation, To: to, Claims: []ledger.Claim{{ID: id, Attempt: 1}}}},
		{wire.Ledger, ledger.Batch{From: from.Incarnation, To: to, Stores: []ledger.StoreRecord{{Record: ledger.ClaimRecord{ID: id, Holder: from}}}}},
		{wire.Ledger, ledger.Batch{From: from.Incarnation, To: to, Probes: []ledger.Probe{{ID: id, Serial: 1, Mark: true}}, Handovers: []ledger.Handover{{Version: 9}}}},
		{wire.Ledger, ledger.Batch{From: from.Incarnation, To: to, ClaimReplies: []ledger.ClaimReply{{ID: id, Result: ledger.Ended}}, ProbeReplies: []ledger.ProbeReply{{Serial: 1}}}},
	} {
		m, err := wire.NewMessage(seed.t, seed.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(m.Type == wire.Ledger, []byte(m.Body))
	}
	f.Add(true, []byte{0xff})
	f.Fuzz(func(t *testing.T, ofLedger bool, body []byte) {
		typ := wire.Membership
		if ofLedger {
			typ = wire.Ledger
		}
		rts[0].Receive(structs.Member{Name: from.Name, Incarnation: from.Incarnation, Addr: from.Addr}, wire.Message{Type: typ, Body: body})
		answered := make(chan struct{})
		rts[0].post(func() { close(answered) })
		<-answered
	})
}
