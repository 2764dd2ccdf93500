package entry

import (
	"fmt"
	"time"

	"currantstall/internal/claims"
	"currantstall/internal/dispatch"
	"currantstall/internal/engine"
	"currantstall/internal/journal"
	"currantstall/internal/ledger"
	"currantstall/internal/manifest"
	"currantstall/internal/membership"
	"currantstall/internal/peer"
	"currantstall/internal/platform"
	"currantstall/internal/target"
	"currantstall/platform/store"
)

// provision builds the components and connects them, without starting any.
func (p *Process) provision() error {
	if err := p.provisionPlatform(); err != nil {
		return err
	}
	if err := p.provisionPeers(); err != nil {
		return err
	}
	p.provisionTargets()
	p.provisionJournal()
	if err := p.provisionClaims(); err != nil {
		return err
	}
	p.provisionEngine()
	p.subscribeManifest()
	return nil
}

func (p *Process) provisionPlatform() error {
	client, err := store.Connect(p.cfg.PlatformURL, platform.Config{
		WritesPerSecond: p.cfg.WritesPerSecond,
		Metrics:         p.metrics,
	})
	if err != nil {
		return fmt.Errorf("connect to the platform: %w", err)
	}
	p.platform = client
	return nil
}

func (p *Process) provisionPeers() error {
	node, err := peer.New(peer.Config{
		Self:       p.self,
		DC:         p.cfg.DC,
		Secret:     p.cfg.Secret,
		QueueBytes: p.cfg.PeerQueueBytes,
		Metrics:    p.metrics,
		Log:        p.cfg.Log,
	}, peerHandler{p})
	if err != nil {
		return err
	}
	p.node = node
	p.rollout = manifest.NewRollout(manifest.RolloutConfig{
		Store:   manifest.NewStore(p.platform),
		Peers:   rolloutPeers{links{node}},
		Members: func() int { return len(links{node}.Linked(p.cfg.DC)) + 1 },
		Metrics: p.metrics,
	})
	return nil
}

func (p *Process) provisionJournal() {
	p.journal = journal.New(journal.Config{
		Platform: p.platform,
		DC:       p.cfg.DC,
		Writer:   p.cfg.Name,
		Entries:  func() int { return links{p.node}.linkedCount() + 1 },
		Metrics:  p.metrics,
	})
}

func (p *Process) provisionTargets() {
	p.ownership = newOwnership()
	p.tracker = target.NewTracker(target.TrackerConfig{OnChange: p.ownership.onHealthChange})
	p.pool = target.NewPool(target.PoolConfig{
		Metrics:   p.metrics,
		Log:       p.cfg.Log,
		OnLeaving: func(addr string) { p.targets.ReportLeaving(addr) },
	})
	p.targets = target.NewSet(target.SetConfig{
		List:     p.platform,
		DC:       p.cfg.DC,
		Tracker:  p.tracker,
		Pool:     p.pool,
		Share:    p.ownership.connectionShare,
		OnChange: p.ownership.scheduleCompute,
		Log:      p.cfg.Log,
	})
	p.directory = &directory{
		list:     p.platform,
		log:      p.cfg.Log.Debug,
		onVMList: func(vms []platform.VM) { p.targets.Apply(vms, time.Now()) },
		onPeers:  p.node.SetPeers,
		seeds:    p.cfg.Seeds,
		knownDCs: map[string]bool{p.cfg.DC: true},
	}
}

func (p *Process) provisionClaims() error {
	membershipConfig := membership.DefaultConfig(p.cfg.DC)
	membershipConfig.Lease = p.cfg.Lease
	ledgerConfig := ledger.DefaultConfig(p.cfg.DC)
	ledgerConfig.KeptAnswerBytes = p.cfg.KeptAnswerBytes
	runtime, err := claims.New(claims.Config{
		Self:         p.self,
		Membership:   membershipConfig,
		Ledger:       ledgerConfig,
		Table:        p.platform,
		Transport:    claimLinks{links{p.node}},
		Journal:      p.journal,
		Metrics:      p.metrics,
		Log:          p.cfg.Log,
		OnViewChange: p.viewChanged,
	})
	if err != nil {
		return err
	}
	p.claims = runtime
	return nil
}

func (p *Process) provisionEngine() {
	p.retries = dispatch.NewBudget(dispatch.DefaultRetryPercent)
	p.hedges = dispatch.NewBudget(dispatch.DefaultHedgePercent)
	p.dispatch = dispatch.New(dispatch.Config{
		Targets: p.pool,
		Retries: p.retries,
		Hedges:  p.hedges,
		Metrics: p.metrics,
		Observe: p.observe,
		Seed:    p.self.Incarnation,
	})
	p.engine = engine.New(engine.Config{
		Self:             p.self,
		DC:               p.cfg.DC,
		Claims:           p.claims,
		ExternalClaims:   externalClaims{p.claims},
		Journal:          p.journal,
		Links:            links{p.node},
		Manifest:         p.rollout.Current,
		Member:           p.claims.Ready,
		KnownDC:          p.directory.knowsDC,
		DCListWatchedFor: p.directory.watchedFor,
		Policy:           p.cfg.Policy,
		Metrics:          p.metrics,
		Log:              p.cfg.Log,
		Dispatch:         p.dispatch,
		AnswerBytes:      p.cfg.AnswerBytes,
	})
	p.ownership.self = p.cfg.Name
	p.ownership.engine = p.engine
	p.ownership.pool = p.pool
	p.ownership.tracker = p.tracker
	p.ownership.listTargets = p.targets.VMs
	p.ownership.linkedEntries = func() []string { return links{p.node}.Linked(p.cfg.DC) }
	p.ownership.entryCount = func() int { return links{p.node}.linkedCount() + 1 }
}

// observe updates the health of a target by the evidence of one attempt.
func (p *Process) observe(addr string, ev target.Evidence, took time.Duration, kind string) {
	p.tracker.Observe(addr, ev, took, kind, time.Now())
}

// subscribeManifest applies each new manifest to the engine, the retry and hedge
// budgets and the claims.
func (p *Process) subscribeManifest() {
	p.rollout.Subscribe(func(m *manifest.Manifest) {
		p.engine.Configure(m, 1/float64(links{p.node}.linkedCount()+1))
		p.retries.SetPercent(orDefault(m.Limits.RetryPercent, dispatch.DefaultRetryPercent))
		p.claims.SetLimits(p.keyTTL(m), p.keptAnswerBytes(m))
		p.hedges.SetPercent(orDefault(m.Limits.HedgePercent, dispatch.DefaultHedgePercent))
	})
}

// viewChanged applies a change of the views. Links and ownership of targets
// follow the newest view, since the entries agree on it next. The engine is notified
// of the entries that were removed from the view in force. Calls must not overlap.
func (p *Process) viewChanged(s claims.Snapshot) {
	p.directory.setView(s.Newest)
	p.ownership.setView(s.Newest)
	for _, m := range p.viewInForce.Members {
		if !s.InForce.Has(m) && m.Name != p.cfg.Name {
			p.wg.Go(func() { p.engine.PeerRemoved(m.Name) })
		}
	}
	p.viewInForce = s.InForce
}

// keyTTL returns how long a key is valid.
func (p *Process) keyTTL(m *manifest.Manifest) time.Duration {
	if m.Limits.KeyTTLMS == 0 {
		return engine.DefaultKeyTTL
	}
	return time.Duration(m.Limits.KeyTTLMS) * time.Millisecond
}

// keptAnswerBytes returns the limit on the memory for kept answers: that of the
// manifest, but at most that of the settings.
func (p *Process) keptAnswerBytes(m *manifest.Manifest) int64 {
	if m.Limits.KeptAnswerBytes == 0 {
		return p.cfg.KeptAnswerBytes
	}
	return min(m.Limits.KeptAnswerBytes, p.cfg.KeptAnswerBytes)
}

// orDefault returns v, or d if v is 0.
func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}
