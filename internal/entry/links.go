package entry

import (
	"context"
	"time"

	"currantstall/internal/claims"
	"currantstall/internal/key"
	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// links adapts the peer node to the link interfaces of the engine, the claims
// runtime and the manifest rollout.
type links struct{ node *peer.Node }

// Send implements engine.Links.
func (l links) Send(name string, msgs ...wire.Message) error { return l.node.Send(name, msgs...) }

// Broadcast implements engine.Links.
func (l links) Broadcast(msgs ...wire.Message) int { return l.node.Broadcast(msgs...) }

// Linked implements engine.Links.
func (l links) Linked(dc string) []string {
	var names []string
	for _, p := range l.node.Linked() {
		if p.DC == dc {
			names = append(names, p.Name)
		}
	}
	return names
}

// DCOf implements engine.Links.
func (l links) DCOf(name string) (string, bool) {
	for _, p := range l.node.Linked() {
		if p.Name == name {
			return p.DC, true
		}
	}
	return "", false
}

// RTT implements engine.Links.
func (l links) RTT(name string) (time.Duration, bool) { return l.node.RTT(name) }

// linkedCount returns the number of linked entries.
func (l links) linkedCount() int { return len(l.node.Linked()) }

// rolloutPeers adapts the node to the manifest rollout, which tolerates lost
// messages.
type rolloutPeers struct{ links }

// Broadcast implements manifest.Peers.
func (r rolloutPeers) Broadcast(m wire.Message) { r.node.Broadcast(m) }

// Send implements manifest.Peers.
func (r rolloutPeers) Send(to string, m wire.Message) { _ = r.node.Send(to, m) }

// claimLinks adapts the node to the claims runtime, which resends lost messages.
type claimLinks struct{ links }

// Send implements claims.Transport.
func (c claimLinks) Send(to structs.Member, msgs ...wire.Message) {
	_ = c.node.Send(to.Name, msgs...)
}

// externalClaims adapts the claims runtime to the engine.
type externalClaims struct{ claims *claims.Runtime }

// ClaimExternal implements engine.ExternalClaims.
func (x externalClaims) ClaimExternal(ctx context.Context, k key.Key) error {
	o, err := x.claims.ExternalClaim(ctx, k)
	if err != nil {
		return err
	}
	if o == nil {
		return nil
	}
	if err := o.Err(); err != nil {
		return err
	}
	return verdict.New(verdict.Completed, verdict.AlreadyClaimed, "the work of key %s has already completed", k)
}

// peerHandler routes messages and link events from other entries to the
// components.
type peerHandler struct{ p *Process }

// Receive implements peer.Handler.
func (i peerHandler) Receive(from peer.Peer, m wire.Message) {
	if err := i.route(from, m); err != nil {
		i.p.cfg.Log.Warn("message dropped", "from", from.Name, "type", m.Type, "err", err)
	}
}

// route passes a message to the component that handles its type.
func (i peerHandler) route(from peer.Peer, m wire.Message) error {
	switch m.Type {
	case wire.Membership, wire.Ledger:
		if from.DC == i.p.cfg.DC {
			i.p.claims.Receive(from.Member, m)
		}
		return nil
	case wire.ManifestNew, wire.ManifestGet, wire.ManifestAll:
		return i.p.rollout.Handle(from.Name, m)
	}
	return i.p.engine.Receive(from.Name, m)
}

// LinkUp implements peer.Handler.
func (i peerHandler) LinkUp(p peer.Peer) {
	if p.DC == i.p.cfg.DC {
		i.p.claims.LinkUp(p.Member)
	}
	i.p.rollout.LinkUp(p.Name)
	i.p.engine.LinkUp(p.Name, p.Incarnation)
	i.p.ownership.scheduleCompute()
}

// LinkDown implements peer.Handler.
func (i peerHandler) LinkDown(p peer.Peer) {
	if p.DC == i.p.cfg.DC {
		i.p.claims.LinkDown(p.Member)
	}
	i.p.engine.LinkDown(p.Name)
	i.p.ownership.scheduleCompute()
}
