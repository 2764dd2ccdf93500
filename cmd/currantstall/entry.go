package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"currantstall/internal/entry"
	"currantstall/internal/peer"
	"currantstall/internal/settings"
	"currantstall/internal/structs"
)

// entryCmd runs an entry until it receives SIGTERM or SIGINT.
type entryCmd struct {
	settings.Entry
}

// Run implements the command. SIGTERM and SIGINT drain and stop the entry; Run
// returns nil if no work was cut off.
func (c *entryCmd) Run() error {
	secret, err := c.Secret()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e, err := entry.Start(entry.Config{
		Name:            c.VM,
		DC:              c.DC,
		Listen:          c.Listen,
		PeerListen:      c.PeerListen,
		PeerAdvertise:   c.PeerAdvertise,
		PlatformURL:     c.Platform,
		Seeds:           c.seedPeers(),
		Secret:          secret,
		WritesPerSecond: c.WritesPerSecond,
		Lease:           c.Lease,
		BodyBytes:       c.BodyBytes(),
		Machine:         c.Machine(),
		AnswerBytes:     c.AnswerBytes(),
		KeptAnswerBytes: c.KeptAnswerBytes(),
		PeerQueueBytes:  c.PeerQueueBytes(),
		Policy:          c.AdmissionPolicy(),
		Log:             c.Logger(os.Stderr).With("vm", c.VM),
	})
	if err != nil {
		return err
	}
	fmt.Printf("entry %s callers=%s peers=%s\n", c.VM, e.Addr(), e.PeerAddr())
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), c.DrainTimeout)
	defer cancel()
	return e.Stop(drainCtx)
}

// seedPeers returns the seeds of the command line as peers.
func (c *entryCmd) seedPeers() []peer.Peer {
	peers := make([]peer.Peer, len(c.Seed))
	for i, s := range c.Seed {
		peers[i] = peer.Peer{Member: structs.Member{Name: s.Name, Addr: s.Addr}, DC: s.DC}
	}
	return peers
}
