package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/examples"
	"currantstall/internal/api"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/standin/worker"
	"currantstall/platform/platformd"
)

const (
	waitTimeout    = 60 * time.Second // limit of every wait
	pollInterval   = 20 * time.Millisecond
	testPeerSecret = "a secret for the tests alone"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "currantstall-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "currantstall")
	build := exec.Command("go", "build", "-o", binary, "currantstall/cmd/currantstall")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// clusterCount is the number of deployments so far. Each has a loopback address
// of its own.
var clusterCount atomic.Uint32

// cluster is a deployment under test.
type cluster struct {
	t           *testing.T
	proxyHost   string // loopback address of the proxies
	platform    *platformd.Server
	storeProxy  *toxiproxy.Proxy // between the entries and the platform
	registrar   *platformd.Registrar
	proxyServer *toxiproxy.ApiServer
	mu          sync.Mutex
	entries     map[string]*process // by name, guarded by mu
	entryNames  []string
	targets     []*taskserver.Server
	repeatable  map[string]bool // keys of repeatable requests, guarded by mu
}

// process is one entry process behind its proxy.
type process struct {
	name   string
	dc     string
	cmd    *exec.Cmd
	addr   string           // for callers
	proxy  *toxiproxy.Proxy // for peers
	exited chan struct{}    // closed once the process has exited
	log    *logBuffer
}

// logBuffer keeps a process's output for the report of a failure.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, "\n")
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	p, err := platformd.Start("")
	assert.NilError(t, err)
	faults := platformd.DefaultFaults()
	faults.ListLagMS = 100
	p.Store.SetFaults(faults)
	cl := &cluster{
		t:           t,
		proxyHost:   fmt.Sprintf("127.0.1.%d", clusterCount.Add(1)),
		platform:    p,
		proxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		entries:     make(map[string]*process),
		repeatable:  make(map[string]bool),
	}
	cl.storeProxy = cl.newProxy("platform", p.Addr())
	cl.registrar, err = platformd.NewRegistrar(p.URL())
	assert.NilError(t, err)
	t.Cleanup(cl.close)
	return cl
}

// entry returns the latest process of an entry, or nil if it was never started.
func (cl *cluster) entry(name string) *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.entries[name]
}

// newProxy starts a proxy on the deployment's own loopback address. A proxy
// binds its port again when it is changed or healed, so no other process may
// have taken the port by then.
func (cl *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	cl.t.Helper()
	p := toxiproxy.NewProxy(cl.proxyServer, name, cl.proxyHost+":0", upstream)
	assert.NilError(cl.t, p.Start())
	cl.t.Cleanup(p.Stop)
	return p
}

func (cl *cluster) close() {
	for _, p := range cl.entries {
		p.kill()
		if cl.t.Failed() {
			cl.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	}
	for _, s := range cl.targets {
		s.Kill()
	}
	cl.registrar.Close()
	_ = cl.platform.Close()
}

// startTargets starts runners and workers in a data centre.
func (cl *cluster) startTargets(dc string, runners, workers int) {
	cl.t.Helper()
	for range runners {
		cl.startTarget(runner.New, dc, taskserver.Config{List: cl.registrar})
	}
	for range workers {
		cl.startTarget(worker.New, dc, taskserver.Config{List: cl.registrar})
	}
}

// startTarget starts one target. It fills in the name and the rack.
func (cl *cluster) startTarget(start func(taskserver.Config) (*taskserver.Server, error), dc string, cfg taskserver.Config) *taskserver.Server {
	cl.t.Helper()
	cfg.VM.Name = fmt.Sprintf("%s-target-%d", dc, len(cl.targets))
	cfg.VM.Rack = cfg.VM.Name
	cfg.VM.DC = dc
	cfg.Seed = uint64(len(cl.targets))
	s, err := start(cfg)
	assert.NilError(cl.t, err)
	cl.targets = append(cl.targets, s)
	return s
}

// startEntry starts an entry process. An entry that was started before is
// restarted behind the same proxy.
func (cl *cluster) startEntry(name, dc string, flags ...string) *process {
	cl.t.Helper()
	p := &process{name: name, dc: dc, exited: make(chan struct{}), log: &logBuffer{}}
	if old := cl.entry(name); old != nil {
		p.proxy = old.proxy
	} else {
		p.proxy = cl.newProxy(name, "127.0.0.1:1")
		cl.entryNames = append(cl.entryNames, name)
	}
	args := append([]string{
		"entry", "--vm", name, "--data-centre", dc,
		"--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--peer-advertise", p.proxy.Listen,
		"--platform", "http://" + cl.storeProxy.Listen, "--lease", "1500ms", "--log-level", "debug",
	}, flags...)
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), "CURRANTSTALL_ENTRY_PEER_SECRET="+testPeerSecret, "CURRANTSTALL_PEER_SECRET="+testPeerSecret)
	stderr, err := p.cmd.StderrPipe()
	assert.NilError(cl.t, err)
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(cl.t, err)
	assert.NilError(cl.t, p.cmd.Start())
	cl.mu.Lock()
	cl.entries[name] = p
	cl.mu.Unlock()
	started := make(chan [2]string, 1)
	var reading sync.WaitGroup
	reading.Go(func() { p.readLog(stderr) })
	reading.Go(func() { p.readAddrs(stdout, started) })
	go func() {
		reading.Wait()
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case addrs := <-started:
		p.addr = addrs[0]
		cl.setUpstream(p.proxy, addrs[1])
	case <-p.exited:
		cl.t.Fatalf("entry %s exited at its start:\n%s", name, p.log)
	case <-time.After(waitTimeout):
		cl.t.Fatalf("entry %s did not print its addresses in time:\n%s", name, p.log)
	}
	return p
}

// setUpstream points a proxy to a process. The proxy binds its port again. It
// retries, since a child process of a test that runs in parallel may still hold
// the port between its fork and its exec.
func (cl *cluster) setUpstream(p *toxiproxy.Proxy, upstream string) {
	cl.t.Helper()
	cl.eventually("proxy "+p.Name, func() error {
		return p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: upstream, Enabled: true})
	})
}

func (p *process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.log.add(lines.Text())
	}
}

// readAddrs reads the line with the addresses of the listeners.
func (p *process) readAddrs(r io.Reader, started chan<- [2]string) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		p.log.add(lines.Text())
		var name, callers, peers string
		if n, _ := fmt.Sscanf(lines.Text(), "entry %s callers=%s peers=%s", &name, &callers, &peers); n == 3 {
			started <- [2]string{callers, peers}
		}
	}
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// url returns the URL of a path at the entry.
func (p *process) url(path string) string { return "http://" + p.addr + path }

// applyManifest applies the first manifest.
func (cl *cluster) applyManifest(p *process) {
	cl.t.Helper()
	cl.eventually("manifest applied", func() error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, p.url("/v1/manifest?base=0"), strings.NewReader(string(examples.Kelpfire)))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			body, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("status %d: %s", resp.StatusCode, body)
		}
		return nil
	})
}

// awaitReady waits until the entries report that they are ready.
func (cl *cluster) awaitReady(names ...string) {
	cl.t.Helper()
	for _, name := range names {
		p := cl.entry(name)
		cl.eventually(name+" ready", func() error {
			resp, err := http.Get(p.url("/readyz"))
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				body, _ := io.ReadAll(resp.Body)
				return fmt.Errorf("%s", body)
			}
			return nil
		})
	}
}

// eventually polls until check returns nil.
func (cl *cluster) eventually(what string, check func() error) {
	cl.t.Helper()
	poll.WaitOn(cl.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(pollInterval))
}

// partition makes an entry unreachable for its peers: its proxy closes all
// connections and accepts no new ones.
func (cl *cluster) partition(name string) { cl.entry(name).proxy.Stop() }

// heal undoes partition.
func (cl *cluster) heal(name string) {
	cl.t.Helper()
	assert.NilError(cl.t, cl.entry(name).proxy.Start())
}

// startCounts returns the number of starts of each task, summed over all
// targets.
func (cl *cluster) startCounts() map[taskserver.TaskID]int {
	counts := make(map[taskserver.TaskID]int)
	for _, s := range cl.targets {
		for id, n := range s.Starts() {
			counts[id] += n
		}
	}
	return counts
}

// startTimes returns the times of all starts of each key.
func (cl *cluster) startTimes() map[string][]time.Time {
	all := make(map[string][]time.Time)
	for _, s := range cl.targets {
		for id, times := range s.StartTimes() {
			k := id.Key.String()
			all[k] = append(all[k], times...)
		}
	}
	return all
}

// blackhole makes the connections through an entry's proxy silent: they stay
// open, but no data arrives.
func (cl *cluster) blackhole(name string) {
	cl.t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		spec := fmt.Sprintf(`{"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream)
		_, err := cl.entry(name).proxy.Toxics.AddToxicJson(strings.NewReader(spec))
		assert.NilError(cl.t, err)
	}
}

// status returns the status of an entry.
func (cl *cluster) status(name string) (*api.Status, error) {
	resp, err := http.Get(cl.entry(name).url("/v1/status"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var s api.Status
	return &s, json.NewDecoder(resp.Body).Decode(&s)
}

// awaitTargets waits until the entries of a data centre all know its n targets
// and together own them.
func (cl *cluster) awaitTargets(n int, names ...string) {
	cl.t.Helper()
	cl.eventually("targets known", func() error {
		owned := 0
		for _, name := range names {
			s, err := cl.status(name)
			if err != nil {
				return err
			}
			owned += s.Targets.Owned
			if s.Targets.Known != n {
				return fmt.Errorf("%s knows %d targets, want %d", name, s.Targets.Known, n)
			}
		}
		if owned != n {
			return fmt.Errorf("%d targets are owned, want %d", owned, n)
		}
		return nil
	})
}

// checkLinks returns nil if an entry has n links.
func (cl *cluster) checkLinks(name string, n int) error {
	s, err := cl.status(name)
	if err != nil {
		return err
	}
	if len(s.Links) != n {
		return fmt.Errorf("%s has %d links, want %d", name, len(s.Links), n)
	}
	return nil
}
