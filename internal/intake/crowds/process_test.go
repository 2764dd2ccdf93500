package crowds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/examples"
	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/platform/platformd"
	"currantstall/platform/store"
)

// The lowered limits of the processes under test, which are also the bounds.
const (
	memoryMiB      = 128
	maxDescriptors = 400
)

const (
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	queueHost    = "queue.example"
	queuePrefix  = "/unlock/"
	service      = "svc"
	peerSecret   = "a secret for the tests alone"
)

// binary is the path of the built program, and targetsBinary that of the stand-ins of targets.
var binary, targetsBinary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "currantstall-crowds-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, targetsBinary = filepath.Join(dir, "currantstall"), filepath.Join(dir, "soakrun")
	build := exec.Command("go", "build", "-o", dir+"/", "currantstall/cmd/currantstall", "currantstall/platform/soak/soakrun")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is the entry under test, which serves with lowered limits.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	output  *bytes.Buffer     // read after exited is closed
	exited  chan struct{}     // closed once the process has exited
	servers map[string]string // addresses by the name of the server
	// ask sends an ordinary request and returns an error unless it is served.
	ask func() error
}

// launch starts the program and makes the test's cleanup end it.
func launch(t *testing.T, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binary, args...), output: new(bytes.Buffer), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	go p.endRunaway()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if out := p.output.String(); t.Failed() {
			t.Logf("the end of the output: %s", out[max(0, len(out)-4000):])
		}
	})
	return p
}

// runawayMiB is the resident size at which a process is killed, far above the bound, so that a
// failing test doesn't take the memory of the machine.
const runawayMiB = 8 * memoryMiB

// endRunaway kills the process if it grows to runawayMiB.
func (p *process) endRunaway() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(pollInterval):
		}
		if mib, err := residentMiB(p.cmd.Process.Pid, "VmRSS:"); err == nil && mib > runawayMiB {
			_ = p.cmd.Process.Kill()
		}
	}
}

// residentMiB returns a resident size of a process from a field of its status.
func residentMiB(pid int, field string) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), field)
	text, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kib, err := strconv.Atoi(text)
	return kib / 1024, err
}

// freeAddrs returns addresses with ports that are free now, below the range from which the
// kernel chooses ports.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	const lowest, highest = 11000, 31000
	var addrs []string
	for port := lowest + os.Getpid()%10000; port < highest && len(addrs) < n; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp4", addr); err == nil {
			_ = ln.Close()
			addrs = append(addrs, addr)
		}
	}
	assert.Equal(t, len(addrs), n, "free ports")
	return addrs
}

// startStore starts a stand-in of the platform's store with a configuration in force.
func startStore(t *testing.T, routes ...map[string]any) *platformd.Server {
	t.Helper()
	s, err := platformd.Start("")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	s.Store.SetFaults(platformd.Faults{})
	config, err := json.Marshal(map[string]any{"version": 1, "limits": map[string]any{"max_body_bytes": bodyBytes}, "routes": routes})
	assert.NilError(t, err)
	s.Store.Put(store.OperatorTable, "config", config)
	return s
}

// route returns the route of a queue. prio 0 is the most urgent.
func route(name, prefix string, prio int) map[string]any {
	return map[string]any{"name": name, "host": queueHost, "prefix": prefix, "service": service, "prio": prio, "attempts": 4, "stretch": 1.6, "slo_ms": 8000}
}

// launchServe starts an entry on the platform's settings.
func launchServe(t *testing.T, s *platformd.Server, name string, addrs []string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, `node: %q
zone: "dc-1"
listen: {front: %q, ready: %q, control: %q}
seeds: []
limits: {cpu_share: 1, cores: 1, memory_mb: %d, max_fds: %d, link_mbps: 1000.0}
bounds: {grace_s: 6}
platform: {addr: %q}
`, name, addrs[0], addrs[1], addrs[2], memoryMiB, maxDescriptors, s.Addr()), 0o600))
	p := launch(t, []string{"CURRANTSTALL_NODE_FILE=" + file, "CURRANTSTALL_PEER_SECRET=" + peerSecret}, "serve")
	p.servers = map[string]string{"callers": addrs[0], "ready": addrs[1], "peers": addrs[2]}
	return p
}

// startServe starts an entry on the platform's settings.
func startServe(t *testing.T) *process {
	t.Helper()
	s := startStore(t, route("unlock", queuePrefix, 0))
	addrs := freeAddrs(t, 3)
	p := launchServe(t, s, "entry-1", addrs)
	job := 0
	p.ask = func() error {
		job++ // a new one each time, stored
		return send(http.MethodPost, "http://"+addrs[0]+queuePrefix+fmt.Sprintf("%016x", job), queueHost, `{"spec":"x","steps":[{"count":1,"cpu":10}]}`)
	}
	p.eventually("serves in calm", p.ask)
	return p
}

// startEntry starts an entry of the product's own interface with a runner.
func startEntry(t *testing.T) *process {
	t.Helper()
	s, err := platformd.Start("")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	faults := platformd.DefaultFaults()
	faults.ListLagMS = 100
	s.Store.SetFaults(faults)
	list, err := platformd.NewRegistrar(s.URL())
	assert.NilError(t, err)
	t.Cleanup(list.Close)
	r, err := runner.New(taskserver.Config{VM: platform.VM{Name: "runner-1", Rack: "rack-1", DC: "dc-1", Slots: 8, MaxConn: 60}, List: list})
	assert.NilError(t, err)
	t.Cleanup(r.Kill)
	addrs := freeAddrs(t, 2)
	p := launch(t, []string{
		"CURRANTSTALL_PEER_SECRET=" + peerSecret, fmt.Sprintf("CURRANTSTALL_BODY_MIB=%d", bodyMiB),
		fmt.Sprintf("CURRANTSTALL_MEMORY_MIB=%d", memoryMiB), fmt.Sprintf("CURRANTSTALL_MAX_DESCRIPTORS=%d", maxDescriptors),
	}, "entry", "--vm", "e1", "--data-centre", "dc-1", "--listen", addrs[0], "--peer-listen", addrs[1], "--platform", s.URL())
	p.servers = map[string]string{"callers": addrs[0], "peers": addrs[1]}
	p.eventually("manifest applied", func() error {
		return send(http.MethodPut, "http://"+addrs[0]+"/v1/manifest?base=0", "", string(examples.Kelpfire))
	})
	p.ask = func() error {
		return send(http.MethodPost, "http://"+addrs[0]+"/v1/requests", "", `{"kind":"unlock","team":"households","body":{}}`)
	}
	p.eventually("serves in calm", p.ask)
	return p
}

// send sends a request over a connection of its own. It returns an error unless the status
// is 200.
func send(method, url, host, body string) error {
	_, err := answer(method, url, host, body)
	return err
}

// answer is send, and returns the body of the answer.
func answer(method, url, host, body string) (string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Host, req.Close = host, true
	c := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return string(b), err
}

// eventually polls until check returns nil, and fails the test if the process ends before.
func (p *process) eventually(what string, check func() error) {
	p.t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.exited:
			p.t.Fatalf("%s: the process has ended: %v", what, p.cmd.ProcessState)
		default:
		}
		if err = check(); err == nil {
			return
		}
	}
	p.t.Fatalf("not within %v: %s: %v", waitTimeout, what, err)
}

// peakMiB returns the largest resident size of the process so far.
func (p *process) peakMiB() int {
	p.t.Helper()
	mib, err := residentMiB(p.cmd.Process.Pid, "VmHWM:")
	assert.NilError(p.t, err)
	return mib
}

// descriptors watches the number of open descriptors of the process until stop is called,
// which returns the largest one seen.
func (p *process) descriptors() (stop func() int) {
	done, most := make(chan struct{}), 0
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				most = max(most, len(fds))
			}
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return func() int {
		close(done)
		wg.Wait()
		return most
	}
}
