package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/pool"
	"currantstall/internal/rendezvous"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

const (
	// directoryPath is where an entry serves what it knows, for entries that
	// start while the platform can't be read.
	directoryPath = "/directory"
	// maxTargetListAge is the age from which a list of targets is not trusted to
	// show who leaves.
	maxTargetListAge = 1500 * time.Millisecond
	// shareInterval bounds how often a peer is told the directory.
	shareInterval = 300 * time.Millisecond
	// seedInterval is the pause between two rounds of asking the seeds.
	seedInterval = time.Second
	// maxDirectoryBytes bounds a directory, in bytes.
	maxDirectoryBytes = 8 << 20
	// minorityClaimDelay is how long a minority waits before it claims targets whose
	// home it can't reach.
	minorityClaimDelay = 1500 * time.Millisecond
)

// directory is what a node knows of the deployment, and how fresh it is.
type directory struct {
	targets   []fleet.Target
	targetsAt time.Duration // when the list was current at the platform
	hasList   bool
	members   map[string]fleet.Member
	live      []string // members that the platform's store has heard of lately
	liveAt    time.Duration
	sharedAt  map[string]time.Duration
}

// directoryBody is the body of wire.Directory and of the directory's page.
type directoryBody struct {
	Self       fleet.Member   `cbor:"1,keyasint"`
	Config     *fleet.Config  `cbor:"2,keyasint,omitempty"`
	Targets    []fleet.Target `cbor:"3,keyasint,omitempty"`
	HasTargets bool           `cbor:"4,keyasint,omitempty"`
	TargetsAge time.Duration  `cbor:"5,keyasint,omitempty"`
	Members    []fleet.Member `cbor:"6,keyasint,omitempty"`
}

func newDirectory() directory {
	return directory{members: make(map[string]fleet.Member), sharedAt: make(map[string]time.Duration)}
}

// unknownAge stands for the age of a list that was never read.
const unknownAge = time.Hour

func (d *directory) targetsAge(now time.Duration) time.Duration {
	if !d.hasList {
		return unknownAge
	}
	return now - d.targetsAt
}

// shouldShare reports whether a peer should be told the directory now.
func (d *directory) shouldShare(now time.Duration, peer string, b heartbeatBody, config int64) bool {
	older := b.ConfigVersion < config
	stale := b.TargetsAge > maxTargetListAge && d.targetsAge(now)+maxTargetListAge/2 < b.TargetsAge
	if !older && !stale || now < d.sharedAt[peer]+shareInterval {
		return false
	}
	d.sharedAt[peer] = now
	return true
}

// SetConfig puts a configuration in force unless a newer one is.
func (n *Node) SetConfig(c *fleet.Config) {
	n.post(func(now time.Duration) { n.setConfig(now, c, "platform") })
}

func (n *Node) setConfig(now time.Duration, c *fleet.Config, source string) {
	if cur := n.config.Load(); cur != nil && cur.Version >= c.Version {
		return
	}
	n.config.Store(c)
	n.log.Info("config", "version", c.Version, "queues", len(c.Queues), "source", source)
	if source != "platform" {
		return
	}
	for name := range n.linked {
		n.shareDirectory(name)
	}
}

// SetTargets replaces the list of targets by one that was current at a time.
func (n *Node) SetTargets(list []fleet.Target, at time.Time) {
	n.post(func(now time.Duration) {
		n.stored.storeReadAt = max(n.stored.storeReadAt, at.Sub(n.startedAt))
		n.setTargets(now, list, at.Sub(n.startedAt))
	})
}

func (n *Node) setTargets(now time.Duration, list []fleet.Target, at time.Duration) {
	if n.directory.hasList && at < n.directory.targetsAt {
		return
	}
	n.directory.targets, n.directory.targetsAt, n.directory.hasList = list, at, true
	n.pool.SetTargets(now, list)
	if n.pool.Leading() {
		n.updateClaims(now)
	}
}

// SetMembers replaces what the platform knows of the entries; live ones have
// renewed their entry lately.
func (n *Node) SetMembers(list []fleet.Member, live []string) {
	n.post(func(now time.Duration) {
		for name := range n.directory.members {
			if !n.linked[name] { // a link says more than the store
				delete(n.directory.members, name)
			}
		}
		for _, m := range list {
			n.directory.members[m.Name] = m
		}
		n.directory.live, n.directory.liveAt = live, now
		n.dialMembers()
	})
}

// dialMembers links this entry with the members it knows.
func (n *Node) dialMembers() {
	var ps []peer.Peer
	for _, m := range n.directory.members {
		if m.Name != n.cfg.Self.Name {
			ps = append(ps, peer.Peer{Member: structs.Member{Name: m.Name, Addr: m.Addr}, DC: m.DC})
		}
	}
	n.peers.SetPeers(ps)
}

// directorySnapshot returns what this entry knows.
func (n *Node) directorySnapshot(now time.Duration) directoryBody {
	b := directoryBody{
		Self: n.cfg.Self, Config: n.config.Load(),
		Targets: n.directory.targets, HasTargets: n.directory.hasList, TargetsAge: n.directory.targetsAge(now),
	}
	for _, m := range n.directory.members {
		b.Members = append(b.Members, m)
	}
	return b
}

// shareDirectory tells a peer what this entry knows.
func (n *Node) shareDirectory(to string) { n.send(to, wire.Directory, n.directorySnapshot(n.now())) }

// mergeDirectory takes in what another entry knows.
func (n *Node) mergeDirectory(now time.Duration, b directoryBody) {
	if b.Config != nil {
		n.setConfig(now, b.Config, "peer "+b.Self.Name)
	}
	if b.HasTargets {
		n.setTargets(now, b.Targets, now-b.TargetsAge)
	}
	added := false
	for _, m := range append(slices.Clone(b.Members), b.Self) {
		if _, known := n.directory.members[m.Name]; !known && m.Name != "" {
			n.directory.members[m.Name] = m
			added = true
		}
	}
	if added {
		n.dialMembers()
	}
}

// updateClaims tells the pool how soon it may updateClaims each target. The larger part of
// the live members claims all at once; a smaller part claims the targets whose
// home is in it, and the others after a pause.
func (n *Node) updateClaims(now time.Duration) {
	known := n.presumedLive(now)
	slices.Sort(known)
	inReach := func(name string) bool {
		return n.linked[name] || name == n.cfg.Self.Name
	}
	reached := 0
	for _, name := range known {
		if inReach(name) {
			reached++
		}
	}
	majority := 2*reached > len(known)
	n.pool.SetAcquirePolicy(now, func(id string) pool.AcquirePolicy {
		home, _ := rendezvous.Top(rendezvous.Hash(id), known)
		c := pool.AcquirePolicy{Home: inReach(known[home])}
		if !majority && !c.Home {
			c.Delay = minorityClaimDelay
		}
		return c
	})
}

// presumedLive returns the members that are thought to live: those that the
// store has heard of lately, or all that are known while the store is out of
// reach.
func (n *Node) presumedLive(now time.Duration) []string {
	var known []string
	add := func(name string) {
		if !slices.Contains(known, name) {
			known = append(known, name)
		}
	}
	add(n.cfg.Self.Name)
	for name := range n.linked {
		add(name)
	}
	if n.directory.liveAt > 0 && now < n.directory.liveAt+maxLiveListAge {
		for _, name := range n.directory.live {
			add(name)
		}
		return known
	}
	for name := range n.directory.members {
		add(name)
	}
	return known
}

// maxLiveListAge is the age from which the store's word on who lives is not used.
const maxLiveListAge = 5 * time.Second

func (n *Node) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	got := make(chan directoryBody, 1)
	n.post(func(now time.Duration) { got <- n.directorySnapshot(now) })
	select {
	case b := <-got:
		body, err := wire.Encode(b)
		if err != nil {
			n.log.Error("directory that can't be encoded", "err", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // a peer that hangs up asks again
	case <-n.ctx.Done():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// askSeeds asks the seeds for the directory until enough is known to serve.
func (n *Node) askSeeds() {
	client := &http.Client{Timeout: seedInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(seedInterval):
		}
		if n.Ready() {
			continue
		}
		for _, addr := range n.cfg.Seeds {
			if strings.EqualFold(addr, n.cfg.Self.Addr) {
				continue
			}
			b, err := fetchDirectory(n.ctx, client, addr)
			if err != nil {
				n.log.Info("seed", "addr", addr, "outcome", "no answer", "err", err)
				continue
			}
			n.post(func(now time.Duration) { n.mergeDirectory(now, b) })
		}
	}
}

func fetchDirectory(ctx context.Context, c *http.Client, addr string) (directoryBody, error) {
	var b directoryBody
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+directoryPath, nil)
	if err != nil {
		return b, fmt.Errorf("directory of %s: %w", addr, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return b, fmt.Errorf("directory of %s: %w", addr, err)
	}
	defer resp.Body.Close() //nolint:errcheck // only read
	if resp.StatusCode != http.StatusOK {
		return b, fmt.Errorf("directory of %s: status %d", addr, resp.StatusCode)
	}
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(resp.Body, maxDirectoryBytes)); err != nil {
		return b, fmt.Errorf("directory of %s: %w", addr, err)
	}
	return b, wire.Decode(buf.Bytes(), &b)
}
