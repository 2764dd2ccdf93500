package manifest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
	"currantstall/internal/wire"
)

const (
	// DefaultPollInterval is the time between two polls of the head row by
	// one entry, in a data centre of up to pollersPerInterval entries.
	DefaultPollInterval = time.Second
	// pollersPerInterval bounds the polls of one data centre in each
	// PollInterval. With more entries each one polls less often; the entry
	// that finds a new version pushes it to the others.
	pollersPerInterval = 8
	// maxPushSections is the largest number of changed sections that a push
	// carries; a larger change is announced by its version only.
	maxPushSections = 64
)

// NewBody is the body of wire.ManifestNew, which announces that the sender holds
// Version, 0 for none. If Sections is not empty, they change version From into
// Version. A receiver with a higher version replies with its own. A receiver with
// a lower one applies Sections if it is at From, else it asks the sender for the
// whole manifest.
type NewBody struct {
	Version  uint64    `cbor:"1,keyasint"`
	From     uint64    `cbor:"2,keyasint,omitempty"`
	Sections []Section `cbor:"3,keyasint,omitempty"`
}

// GetBody is the body of wire.ManifestGet, which asks for the whole manifest if
// its version is above Have.
type GetBody struct {
	Have uint64 `cbor:"1,keyasint"`
}

// AllBody is the body of wire.ManifestAll, which carries the whole manifest.
type AllBody struct {
	Manifest Manifest `cbor:"1,keyasint"`
}

// Peers sends messages to other entries. Both methods may lose messages.
type Peers interface {
	Broadcast(m wire.Message)
	Send(to string, m wire.Message)
}

// RolloutConfig configures a Rollout.
type RolloutConfig struct {
	Store *Store
	Peers Peers
	// PollInterval is the time between two polls; 0 means
	// DefaultPollInterval.
	PollInterval time.Duration
	// Members returns the number of entries in this data centre; nil means
	// one.
	Members func() int
	// Metrics receives the metrics of the rollout; nil disables them.
	Metrics *metrics.Metrics
}

// Rollout holds the manifest that is in force in this process. It only moves to
// higher versions, which it learns from the table, from peers or from Apply. All
// manifests that it returns or passes on are read-only.
type Rollout struct {
	cfg         RolloutConfig
	current     atomic.Pointer[Manifest]
	mu          sync.Mutex // orders adoptions; guards subscribers and requested
	subscribers []func(*Manifest)
	requested   uint64 // highest version requested from peers since the last reset, see setRequested
	version     tally.Gauge
	scope       tally.Scope
}

// NewRollout returns a Rollout without a manifest. Run starts polling.
func NewRollout(cfg RolloutConfig) *Rollout {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.Members == nil {
		cfg.Members = func() int { return 1 }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	scope := cfg.Metrics.Scope().SubScope("manifest")
	return &Rollout{cfg: cfg, scope: scope, version: scope.Gauge("version")}
}

// Current returns the manifest in force, or nil if there is none yet. Without a
// manifest nothing may be served.
func (r *Rollout) Current() *Manifest { return r.current.Load() }

// Subscribe calls f with each manifest adopted from now on, in order, and at once
// with the current one if any. f must not block.
func (r *Rollout) Subscribe(f func(*Manifest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if m := r.current.Load(); m != nil {
		f(m)
	}
}

// Adopt puts an accepted manifest in force if its version is above the current
// one, and reports whether it did.
func (r *Rollout) Adopt(m *Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.version() <= r.current.Load().version() {
		return false
	}
	r.current.Store(m)
	r.version.Update(float64(m.Version))
	r.scope.Counter("adopted").Inc(1)
	for _, f := range r.subscribers {
		f(m)
	}
	return true
}

// Apply writes a manifest to the store as the version after base, puts it in
// force in this process and pushes it to the peers. Its errors are those of
// Store.Apply.
func (r *Rollout) Apply(ctx context.Context, writer string, base uint64, next *Manifest) (*Manifest, error) {
	if cur := r.Current(); cur.version() == base && cur != nil {
		r.cfg.Store.lastKnown.Store(cur) // spares a load if cur came from a peer
	}
	u, err := r.cfg.Store.Apply(ctx, writer, base, next)
	if err != nil {
		return nil, err
	}
	r.adoptAndPush(u)
	return u.Manifest, nil
}

// Poll reads the table once and adopts and pushes a newer version. If the table
// is unreachable it announces its own version to the peers, so that all converge
// to the highest version that any of them holds.
func (r *Rollout) Poll(ctx context.Context) error {
	r.setRequested(0)
	u, err := r.cfg.Store.LoadSince(ctx, r.Current())
	if err != nil {
		r.scope.Counter("poll_failed").Inc(1)
		r.broadcast(wire.ManifestNew, NewBody{Version: r.Current().version()})
		return fmt.Errorf("poll manifest: %w", err)
	}
	if u.Manifest != nil {
		r.adoptAndPush(u)
	}
	return nil
}

// LinkUp announces the version held here to a newly linked peer, so that both
// converge to the higher version at once, also while the table is unreachable.
func (r *Rollout) LinkUp(peer string) {
	r.setRequested(0) // the reply to an earlier request may have been lost with the previous link
	r.send(peer, wire.ManifestNew, NewBody{Version: r.Current().version()})
}

func (r *Rollout) adoptAndPush(u Update) {
	if !r.Adopt(u.Manifest) {
		return
	}
	body := NewBody{Version: u.Manifest.Version}
	if len(u.Sections) <= maxPushSections {
		body.From, body.Sections = u.From, u.Sections
	}
	r.broadcast(wire.ManifestNew, body)
}

// Run polls until ctx ends, the first time at once.
func (r *Rollout) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.Poll(ctx) // an error is counted; the next poll retries
		t := time.NewTimer(r.pollDelay())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// pollDelay returns the time to the next poll, with a jitter of a quarter either
// way so that entries don't poll in step. An entry without a manifest can't serve
// yet, so it polls at the full rate regardless of the number of entries.
func (r *Rollout) pollDelay() time.Duration {
	d := r.cfg.PollInterval
	if n := r.cfg.Members(); n > pollersPerInterval && r.Current() != nil {
		d = d * time.Duration(n) / pollersPerInterval
	}
	return d*3/4 + rand.N(d/2+1)
}

// Handle processes a message from a peer. An error means that the message is
// malformed.
func (r *Rollout) Handle(from string, m wire.Message) error {
	switch m.Type {
	case wire.ManifestNew:
		return r.handleNew(from, m)
	case wire.ManifestGet:
		return r.handleGet(from, m)
	case wire.ManifestAll:
		var body AllBody
		if err := wire.Decode(m.Body, &body); err != nil {
			return err
		}
		r.Adopt(&body.Manifest)
		return nil
	}
	return fmt.Errorf("manifest: unexpected message type %d", m.Type)
}

func (r *Rollout) handleNew(from string, m wire.Message) error {
	var body NewBody
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	cur := r.Current()
	if body.Version < cur.version() {
		r.send(from, wire.ManifestNew, NewBody{Version: cur.version()})
		return nil
	}
	if body.Version == cur.version() {
		return nil
	}
	if cur != nil && body.From == cur.Version && len(body.Sections) > 0 {
		r.Adopt(cur.withSections(body.Version, body.Sections))
		return nil
	}
	if r.setRequested(body.Version) {
		r.send(from, wire.ManifestGet, GetBody{Have: cur.version()})
	}
	return nil
}

// setRequested notes that a version is requested, and reports whether it is above
// the versions requested before. If not, no request is needed, since one peer's
// whole manifest is enough. Version 0 resets the note, since a request or its
// reply may have been lost.
func (r *Rollout) setRequested(version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	above := version > r.requested
	if above || version == 0 {
		r.requested = version
	}
	return above
}

func (r *Rollout) handleGet(from string, m wire.Message) error {
	var body GetBody
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	if cur := r.Current(); cur.version() > body.Have {
		r.send(from, wire.ManifestAll, AllBody{Manifest: *cur})
	}
	return nil
}

func (r *Rollout) broadcast(t wire.Type, body any) {
	if m, ok := r.newMessage(t, body); ok {
		r.cfg.Peers.Broadcast(m)
	}
}

func (r *Rollout) send(to string, t wire.Type, body any) {
	if m, ok := r.newMessage(t, body); ok {
		r.cfg.Peers.Send(to, m)
	}
}

func (r *Rollout) newMessage(t wire.Type, body any) (wire.Message, bool) {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		r.scope.Counter("encode_failed").Inc(1)
	}
	return m, err == nil
}
