package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "paygo"
	hostName    = "nony24.example"
	heartbeat   = 1500 * time.Millisecond
)

var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

// entry is one process of the system.
type entry struct {
	name, zone, front, ready, control string
	cmd                               *exec.Cmd
	gone                              chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	binary, dir string
	rec         *record
	platform    *platform
	toStore     *proxy // between the entries and the store
	entries     []*entry
	stopBeats   context.CancelFunc
	beats       context.Context

	mu      sync.Mutex
	runners map[string]*runner
}

// newWorld starts the platform. The caller closes the world.
func newWorld(binary string) (*world, error) {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	p, err := startPlatform()
	if err != nil {
		return nil, err
	}
	toStore, err := startProxy(p.addr)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, rec: newRecord(), platform: p, toStore: toStore, runners: map[string]*runner{}}
	w.beats, w.stopBeats = context.WithCancel(context.Background())
	return w, nil
}

// route is a queue of the configuration.
func route(name string, prio, attempts int) map[string]any {
	return map[string]any{"name": name, "host": hostName, "prefix": "/" + name + "/", "service": serviceName, "prio": prio,
		"attempts": attempts, "stretch": 1.6, "slo_ms": 60, "timeout_ms": 60000}
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...map[string]any) {
	w.platform.put("op", "config", map[string]any{"version": version, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": serviceName, "admission_check": false}}, "routes": routes})
}

// addRunner starts a runner, or another life of one, and lets it write its row.
func (w *world) addRunner(id, zone, kind, rack, addr string, cpu int64) (*runner, error) {
	r, err := startRunner(w.rec, id, zone, kind, rack, addr, cpu)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.runners[id] = r
	w.mu.Unlock()
	go func() {
		for seq := 1; w.beats.Err() == nil; seq++ {
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if gone {
				return
			}
			pause := heartbeat
			if !w.platform.put("servers", id, r.row(seq)) {
				pause = heartbeat / 5
			}
			select {
			case <-time.After(pause):
			case <-w.beats.Done():
			}
		}
	}()
	return r, nil
}

// addRunners starts runners of one kind in all zones, eight in a rack.
func (w *world) addRunners(n int, kind string, cpu int64) error {
	for i := range n {
		zone := zones[i*len(zones)/n]
		if _, err := w.addRunner(fmt.Sprintf("i-%s%02d%04x", kind, i, rand.Uint32N(1<<16)), zone, kind, fmt.Sprintf("r%d-%d", i*len(zones)/n+1, i/8+1), "127.0.0.1:0", cpu); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns ports that are free now, below the range from which the system chooses.
func freePorts(n int) ([]int, error) {
	var ports []int
	taken := map[int]bool{}
	for range 5000 {
		port := 12000 + rand.IntN(19000)
		if taken[port] {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		taken[port] = true
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// startEntries starts the processes of the system as the deploy file does, and waits until all are ready.
func (w *world) startEntries(n int) error {
	ports, err := freePorts(3 * n)
	if err != nil {
		return err
	}
	var seeds []string
	count := map[string]int{}
	for i := range n {
		zone := zones[i*len(zones)/n]
		count[zone]++
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[3*i+k]) }
		e := &entry{name: fmt.Sprintf("front-%s-%d", zone, count[zone]), zone: zone, front: at(0), ready: at(1), control: at(2)}
		if count[zone] == 1 {
			seeds = append(seeds, `"`+e.control+`"`)
		}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		if err := w.launch(e, strings.Join(seeds, ", ")); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !w.awaitReady(e, 30*time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	return nil
}

func (w *world) launch(e *entry, seeds string) error {
	file := filepath.Join(w.dir, e.name+".yaml")
	settings := fmt.Sprintf(`node: %q
role: "entry"
class: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: %q
region: "bc-coast"
zones: {bc-coast-a: "bc-coast", bc-coast-b: "bc-coast", bc-coast-c: "bc-coast"}
listen: {front: %q, ready: %q, control: %q}
seeds: [%s]
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
tolerate: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, recover_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_factor: 2, save_s: 0.5, restore_ms: 250, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, require_fence: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000, resend_ms: 1300}
orders: "rpc"
platform: {addr: %q, form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 8.0, part_writes_s: 150, row_bytes: 65536, across: false, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
`, e.name, e.zone, e.front, e.ready, e.control, seeds, w.toStore.addr())
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(w.binary, "serve")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = w.dir, out, out
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTSTALL_NODE_FILE=" + file,
		"CURRANTSTALL_PEER_SECRET=change-me-for-each-deployment"}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the test
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(e.cmd, e.gone)
	return nil
}

func (w *world) awaitReady(e *entry, atMost time.Duration) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.isReady(e) {
			return true
		}
	}
	return false
}

// isReady asks an entry as the platform does.
func (w *world) isReady(e *entry) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (w *world) close() {
	w.stopBeats()
	for _, e := range w.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.gone
	}
	for _, r := range w.runners {
		_ = r.server.Close()
	}
	w.toStore.close()
	w.platform.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// reply is the answer to a client's call; status is 0 if there was none.
type reply struct {
	status int
	state  string
	body   string
	at     time.Duration
}

// call makes a client's call over a connection of its own.
func (w *world) call(client, method, addr, path string, body any, deadline time.Duration) reply {
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	var b io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		b = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, b)
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	w.rec.note("send", "client=%s %s %s at %s", client, method, path, addr)
	resp, err := c.Do(req)
	if err != nil {
		w.rec.note("answer", "client=%s %s %s none: %v", client, method, path, err)
		return reply{at: time.Since(w.rec.began)}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &s)
	w.rec.note("answer", "client=%s %s %s %d %s", client, method, path, resp.StatusCode, strings.TrimSpace(string(data)))
	return reply{resp.StatusCode, s.State, string(data), time.Since(w.rec.began)}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// specText returns the spec of a task.
func specText(s spec) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(b)
}
