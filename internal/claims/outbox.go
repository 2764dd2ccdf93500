package claims

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/ledger"
	"currantstall/internal/membership"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// heartbeatMessage is a heartbeat as encoded on the wire.
type heartbeatMessage struct {
	From      uint64               `cbor:"1,keyasint"` // incarnation of the sender
	To        uint64               `cbor:"2,keyasint"` // incarnation of the addressee
	Heartbeat membership.Heartbeat `cbor:"3,keyasint"`
}

// outbox collects the messages to one incarnation of an entry.
type outbox struct {
	fromIncarnation uint64
	to              structs.Member
	heartbeats      []membership.Heartbeat
	batch           ledger.Batch
	count           int // messages in batch
	urgent          bool
	lazySince       time.Time // when the oldest lazy message was added; zero for none
}

// outbox returns the outbox of an incarnation of an entry. Messages collected
// for an earlier one, or from an earlier incarnation of this entry, are sent
// first.
func (r *Runtime) outbox(to structs.Member) *outbox {
	o := r.outboxes[to.Name]
	if o != nil && (!o.to.Same(to) || o.fromIncarnation != r.self.Incarnation) {
		r.sendOutbox(o)
		o = nil
	}
	if o == nil {
		o = &outbox{fromIncarnation: r.self.Incarnation, to: to}
		r.outboxes[to.Name] = o
	}
	return o
}

func (o *outbox) addHeartbeat(b membership.Heartbeat) {
	o.heartbeats = append(o.heartbeats, b)
	o.urgent = true
}

func (o *outbox) addLedgerMessage(now time.Time, s ledger.Send) {
	o.batch.Add(s.Message)
	o.count++
	if !s.Lazy {
		o.urgent = true
	} else if o.lazySince.IsZero() {
		o.lazySince = now
	}
}

// flush sends the messages to each entry for which one is urgent or has waited
// for maxLazyDelay.
func (r *Runtime) flush(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(r.outboxes)) {
		o := r.outboxes[name]
		if o.urgent || !o.lazySince.IsZero() && now.Sub(o.lazySince) >= maxLazyDelay {
			r.sendOutbox(o)
			delete(r.outboxes, name)
		}
	}
}

func (r *Runtime) flushAll(now time.Time) { r.flush(now.Add(maxLazyDelay)) }

func (r *Runtime) sendOutbox(o *outbox) {
	msgs := make([]wire.Message, 0, len(o.heartbeats)+1)
	for _, b := range o.heartbeats {
		msgs = r.encode(msgs, wire.Membership, heartbeatMessage{From: o.fromIncarnation, To: o.to.Incarnation, Heartbeat: b})
	}
	if o.count > 0 {
		o.batch.From = o.fromIncarnation
		o.batch.To = o.to.Incarnation
		msgs = r.encode(msgs, wire.Ledger, o.batch)
	}
	r.cfg.Transport.Send(o.to, msgs...)
}

func (r *Runtime) encode(msgs []wire.Message, t wire.Type, body any) []wire.Message {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		r.cfg.Log.Error("encoding a message failed; message dropped", "err", err)
		return msgs
	}
	return append(msgs, m)
}

// Receive processes a message of type Membership or Ledger from an entry of
// this data centre. It does not block.
func (r *Runtime) Receive(from structs.Member, m wire.Message) {
	var err error
	switch m.Type {
	case wire.Membership:
		var h heartbeatMessage
		if err = wire.Decode(m.Body, &h); err == nil {
			r.post(func() { r.onHeartbeat(withIncarnation(from, h.From), h) })
		}
	case wire.Ledger:
		var b ledger.Batch
		if err = wire.Decode(m.Body, &b); err == nil {
			r.post(func() { r.onBatch(withIncarnation(from, b.From), &b) })
		}
	}
	if err != nil {
		r.cfg.Metrics.Count(metrics.Dropped, verdict.BadFrame)
		r.cfg.Log.Warn("decoding a message failed; message dropped", "from", from.Name, "err", err)
	}
}

// onHeartbeat processes a heartbeat. One sent to an earlier incarnation of this
// entry only shows the sender's incarnation.
func (r *Runtime) onHeartbeat(from structs.Member, h heartbeatMessage) {
	if known, ok := r.links[from.Name]; ok && known.Incarnation < from.Incarnation {
		r.links[from.Name] = from
	}
	if h.To != r.self.Incarnation {
		r.stepMembership(membership.PeerSeen{Member: from})
		return
	}
	r.stepMembership(membership.Received{From: from, Heartbeat: h.Heartbeat})
}

func (r *Runtime) onBatch(from structs.Member, b *ledger.Batch) {
	if b.To != r.self.Incarnation {
		return
	}
	for _, m := range b.Messages() {
		r.stepLedger(ledger.Received{From: from, Message: m})
	}
}
