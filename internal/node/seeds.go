package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"currantstall/internal/wire"
)

const (
	// directoryPath is the path at which an entry serves its directory, for
	// entries that start while the platform can't be read.
	directoryPath = "/directory"
	// seedInterval is the pause between two rounds of requests to the seeds, and
	// the timeout of each request.
	seedInterval = time.Second
	// maxDirectoryBytes limits the size of a directory that a seed returns.
	maxDirectoryBytes = 8 << 20
)

// serveDirectory answers requests for the directory at directoryPath.
func (n *Node) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	got := make(chan directoryBody, 1)
	n.post(func(now time.Duration) { got <- n.directorySnapshot(now) })
	select {
	case b := <-got:
		body, err := wire.Encode(b)
		if err != nil {
			n.log.Error("directory not served: it can't be encoded", "err", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // an entry that gets no full response asks again
	case <-n.ctx.Done():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// askSeeds asks the seeds for their directories whenever the node is not ready, until
// the node ends.
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
			asked := n.now()
			b, err := fetchDirectory(n.ctx, client, addr)
			if err != nil {
				n.log.Info("seed", "addr", addr, "outcome", "no answer", "err", err)
				continue
			}
			b.AskedAt = asked
			n.post(func(now time.Duration) { n.mergeDirectory(now, b) })
		}
	}
}

// fetchDirectory reads the directory of the entry at an address.
func fetchDirectory(ctx context.Context, c *http.Client, addr string) (directoryBody, error) {
	var b directoryBody
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+directoryPath, nil)
	if err != nil {
		return b, fmt.Errorf("fetch directory from %s: %w", addr, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return b, fmt.Errorf("fetch directory from %s: %w", addr, err)
	}
	defer resp.Body.Close() //nolint:errcheck // only read
	if resp.StatusCode != http.StatusOK {
		return b, fmt.Errorf("fetch directory from %s: status %d, want 200", addr, resp.StatusCode)
	}
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(resp.Body, maxDirectoryBytes)); err != nil {
		return b, fmt.Errorf("fetch directory from %s: %w", addr, err)
	}
	return b, wire.Decode(buf.Bytes(), &b)
}
