package main

import (
	"bytes"
	"context"
	"currantstall/platform/store"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"currantstall/internal/manifest"
	"currantstall/internal/platform"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 40 * time.Second
	pollInterval = 100 * time.Millisecond
	callTimeout  = 5 * time.Second
	peerSecret   = "measure-measure-measure"
	rackSize     = 8
)

// process is a child process that writes its output to a file.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a deployment of real processes on loopback.
type cluster struct {
	binary          string
	dir             string // of the log files
	dcs             []string
	platformURL     string // base URL
	targets         []*process
	entries         []*process
	addrs           []string // of the entries, for callers
	client          *http.Client
	platformProcess *process
}

func newCluster(binary, dir string, dcs []string) *cluster {
	return &cluster{binary: binary, dir: dir, dcs: dcs, client: &http.Client{Timeout: callTimeout}}
}

// start runs the binary with arguments. The output goes to the file name.log in
// the log directory.
func (c *cluster) start(name string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	defer out.Close()
	cmd := exec.Command(c.binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2", "CURRANTSTALL_PEER_SECRET="+peerSecret)
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// stopAll stops processes with SIGTERM and waits until they have exited. It
// kills those that have not exited within stopTimeout.
func stopAll(ps []*process) {
	for _, p := range ps {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, p := range ps {
		select {
		case <-p.done:
		case <-deadline:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startPlatform starts the platform and waits until it responds.
func (c *cluster) startPlatform(ctx context.Context) error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	c.platformURL = "http://" + addr
	c.platformProcess, err = c.start("platform", "standin", "platform", "--listen", addr)
	if err != nil {
		return err
	}
	return c.poll(ctx, "the platform", func() error {
		_, err := c.vms(ctx)
		return err
	})
}

// startTargets starts n runners and n workers, spread over the data centres.
func (c *cluster) startTargets(ctx context.Context, n int) error {
	for i := range n {
		dc := c.dcs[i%len(c.dcs)]
		rack := fmt.Sprintf("%s-%d", dc, i/len(c.dcs)/rackSize)
		for _, role := range []string{"runner", "worker"} {
			name := fmt.Sprintf("%s-%02d", role, i)
			p, err := c.start(name, "standin", role, "--vm", name, "--data-centre", dc, "--rack", rack, "--platform", c.platformURL)
			if err != nil {
				return err
			}
			c.targets = append(c.targets, p)
		}
	}
	return c.poll(ctx, "the targets", func() error {
		vms, err := c.vms(ctx)
		if err == nil && len(vms) < 2*n {
			err = fmt.Errorf("%d of %d targets are listed", len(vms), 2*n)
		}
		return err
	})
}

// startEntries starts n entries under a policy and waits until their listeners
// respond.
func (c *cluster) startEntries(ctx context.Context, n int, policy string) error {
	c.entries, c.addrs = nil, nil
	for i := range n {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("entry-%d", i)
		p, err := c.start(name+"-"+policy, "entry", "--vm", name, "--data-centre", c.dcs[i%len(c.dcs)],
			"--listen", addr, "--peer-listen", "127.0.0.1:0", "--platform", c.platformURL, "--policy", policy, "--log-level", "warn")
		if err != nil {
			return err
		}
		c.entries = append(c.entries, p)
		c.addrs = append(c.addrs, addr)
	}
	return c.poll(ctx, "the entries' listeners", func() error { return c.getAll(ctx, "/healthz") })
}

// awaitReady waits until each entry is ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	return c.poll(ctx, "the entries", func() error { return c.getAll(ctx, "/readyz") })
}

// getAll gets a path from each entry and returns the first error.
func (c *cluster) getAll(ctx context.Context, path string) error {
	for _, addr := range c.addrs {
		if _, err := c.get(ctx, "http://"+addr+path); err != nil {
			return err
		}
	}
	return nil
}

// applyManifest replaces version base by the manifest and waits until each
// entry has the new version.
func (c *cluster) applyManifest(ctx context.Context, base uint64, m *manifest.Manifest) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	url := fmt.Sprintf("http://%s/v1/manifest?base=%d", c.addrs[0], base)
	if err := c.poll(ctx, "the manifest", func() error { return c.send(ctx, http.MethodPut, url, body) }); err != nil {
		return err
	}
	return c.poll(ctx, "the manifest everywhere", func() error { return c.checkManifestVersion(ctx, base+1) })
}

// checkManifestVersion returns nil if each entry has the version or a later
// one.
func (c *cluster) checkManifestVersion(ctx context.Context, version uint64) error {
	for _, addr := range c.addrs {
		text, err := c.get(ctx, "http://"+addr+"/v1/status")
		if err != nil {
			return err
		}
		var status struct {
			Version uint64 `json:"manifest_version"`
		}
		if err := json.Unmarshal(text, &status); err != nil {
			return fmt.Errorf("decode status: %w", err)
		}
		if status.Version < version {
			return fmt.Errorf("entry %s has manifest version %d, want %d", addr, status.Version, version)
		}
	}
	return nil
}

// setFaults sets the injected faults of a target.
func (c *cluster) setFaults(ctx context.Context, vm *platform.VM, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return fmt.Errorf("encode faults: %w", err)
	}
	return c.send(ctx, http.MethodPost, "http://"+vm.Addr+"/faults", body)
}

// vms returns the platform's VM list.
func (c *cluster) vms(ctx context.Context) ([]platform.VM, error) {
	client, err := store.Connect(c.platformURL, platform.Config{})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.VMs(ctx)
}

// counters sums the entries' counters by name and labels.
func (c *cluster) counters(ctx context.Context) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, addr := range c.addrs {
		text, err := c.get(ctx, "http://"+addr+"/metrics")
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
			v, err := strconv.ParseFloat(value, 64)
			if !ok || strings.HasPrefix(name, "#") || err != nil {
				continue
			}
			sums[name] += v
		}
	}
	return sums, nil
}

// startCounts sums the starts that the targets of a role counted, and the tasks
// that one of them started more than once.
func (c *cluster) startCounts(ctx context.Context, role platform.Role) (total, twice int, err error) {
	vms, err := c.vms(ctx)
	if err != nil {
		return 0, 0, err
	}
	for i := range vms {
		if vms[i].Role != role {
			continue
		}
		body, err := c.get(ctx, "http://"+vms[i].Addr+"/starts")
		if err != nil {
			return 0, 0, err
		}
		var counts struct{ Total, Twice int }
		if err := json.Unmarshal(body, &counts); err != nil {
			return 0, 0, fmt.Errorf("decode starts: %w", err)
		}
		total += counts.Total
		twice += counts.Twice
	}
	return total, twice, nil
}

func (c *cluster) get(ctx context.Context, url string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, url, nil)
}

func (c *cluster) send(ctx context.Context, method, url string, body []byte) error {
	_, err := c.do(ctx, method, url, body)
	return err
}

func (c *cluster) do(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", url, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s: status %d: %.200s", url, resp.StatusCode, text)
	}
	return text, nil
}

// poll calls f until it succeeds, for at most readyTimeout.
func (c *cluster) poll(ctx context.Context, what string, f func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("wait for %s: %w", what, errors.Join(err, ctx.Err()))
		}
		time.Sleep(pollInterval)
	}
}

// killAll kills the entries and the targets.
func (c *cluster) killAll() {
	for _, p := range append(slices.Clone(c.entries), c.targets...) {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// stop stops all processes.
func (c *cluster) stop() {
	stopAll(c.entries)
	stopAll(c.targets)
	if c.platformProcess != nil {
		stopAll([]*process{c.platformProcess})
	}
}
