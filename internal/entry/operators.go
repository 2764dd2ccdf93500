package entry

import (
	"context"
	"runtime"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/target"
)

// manifestService adapts the manifest rollout to the API.
type manifestService struct{ p *Process }

// Current implements api.Manifests.
func (m manifestService) Current() *manifest.Manifest { return m.p.rollout.Current() }

// Apply implements api.Manifests.
func (m manifestService) Apply(ctx context.Context, base uint64, next *manifest.Manifest) (*manifest.Manifest, error) {
	return m.p.rollout.Apply(ctx, m.p.cfg.Name, base, next)
}

// accountService adapts the journal and the engine to the API.
type accountService struct{ p *Process }

// ClaimExternal implements api.Account.
func (a accountService) ClaimExternal(ctx context.Context, k key.Key) error {
	return a.p.engine.ClaimExternal(ctx, k)
}

// Read implements api.Account.
func (a accountService) Read(ctx context.Context, after string, limit int) (api.AccountPage, error) {
	page, err := a.p.journal.Read(ctx, after, limit)
	if err != nil {
		return api.AccountPage{}, err
	}
	lines := make([]api.AccountLine, len(page.Lines))
	for i, l := range page.Lines {
		lines[i] = api.AccountLine{
			Position: l.Position,
			Key:      l.Record.Key.String(),
			Verdict:  l.Record.Verdict,
			Reason:   l.Record.Reason,
			System:   string(l.Record.System),
			At:       l.Record.At(),
		}
	}
	return api.AccountPage{Lines: lines, Next: page.Next, Missing: page.Missing}, nil
}

// status returns the state of the entry for operators.
func (p *Process) status() api.Status {
	s := api.Status{
		Name:        p.cfg.Name,
		DC:          p.cfg.DC,
		State:       p.lifecycle.stateName(),
		Ready:       p.lifecycle.ready() == nil,
		ForwardOnly: p.forwardOnly.active.Load(),
		View:        p.claims.Snapshot().Newest,
		Targets:     p.targetCounts(),
		Kinds:       p.kindStatus(),
		Goroutines:  runtime.NumGoroutine(),
	}
	if m := p.rollout.Current(); m != nil {
		s.ManifestVersion = m.Version
	}
	for _, l := range p.node.Linked() {
		s.Links = append(s.Links, l.Name)
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.HeapBytes = mem.HeapAlloc
	return s
}

func (p *Process) kindStatus() []api.KindStatus {
	var kinds []api.KindStatus
	for _, k := range p.engine.KindStatus() {
		kinds = append(kinds, api.KindStatus{Kind: k.Kind, Queued: k.Queued, Running: k.Running})
	}
	return kinds
}

func (p *Process) targetCounts() api.TargetCounts {
	c := api.TargetCounts{Known: len(p.targets.VMs()), Owned: p.ownership.ownedCount()}
	for _, h := range p.tracker.Snapshot(time.Now()) {
		switch h.State {
		case target.Ejected, target.Trial:
			c.Ejected++
		case target.Leaving:
			c.Leaving++
		}
	}
	return c
}
