package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantstall/platform/platformd"
	"currantstall/platform/store"
)

const (
	service    = "paygo"
	hostName   = "nony24.example"
	queue      = "/lohu930/"
	answerTime = 4 * time.Millisecond // of the store, for any call
	txTime     = 4 * time.Millisecond // more for a transaction, which takes 8 ms
	// Rates of the store.
	writesPerSecond = 600
	readsPerSecond  = 2000
)

// world is a small deployment: entries as processes of their own, runners, the store and clients.
type world struct {
	dir     string
	rec     *record
	trouble bool
	terse   bool // runs are recorded by one line each, when they end
	store   *platformd.Server
	handler http.Handler // of the store
	entries []*entry

	mu      sync.Mutex
	runners []*runner
	starts  []startEvent
	done    map[endKey]*doneEnd
	slow    atomic.Int64 // by how many times the store's answers take longer, 0 for none
}

// entry is one process of the system.
type entry struct {
	w                              *world
	name, zone                     string
	front, ready, control, storeAt string
	cmd                            *exec.Cmd
	gone                           chan struct{}
}

var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

// startStore starts the store with a configuration that has one queue with the figures of the sheet.
func (w *world) startStore(attempts int) error {
	s, err := platformd.Start("")
	if err != nil {
		return err
	}
	s.Store.SetFaults(platformd.Faults{WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond})
	w.store, w.handler, w.done = s, s.Handler(), map[endKey]*doneEnd{}
	config, _ := json.Marshal(map[string]any{
		"version": 7, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"routes": []map[string]any{{"name": "r-3hwrr6x", "host": hostName, "prefix": queue, "service": service, "prio": 0,
			"attempts": attempts, "stretch": 1.6, "slo_ms": 60, "timeout_ms": 1500}},
	})
	s.Store.Put("op", "config", config)
	return nil
}

// startRunners starts runners with the kinds and sizes of the sheet: two of 32 cores and one of 48 in turn, 8 a rack.
func (w *world) startRunners(n int) error {
	for i := range n {
		kind, cpu := "a", int64(32000)
		if i%3 == 2 {
			kind, cpu = "b", 48000
		}
		if _, err := w.startRunner(fmt.Sprintf("i-%04d", i), zones[i/8%len(zones)], kind, fmt.Sprintf("r1-%d", i/8), cpu); err != nil {
			return err
		}
	}
	return nil
}

// startEntries starts 7 entries in 3 zones and waits until they are ready.
func (w *world) startEntries() error {
	const n = 7
	ports, err := freePorts(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[3*i+k]) }
		zone := zones[i%len(zones)]
		w.entries = append(w.entries, &entry{w: w, name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, front: at(0), ready: at(1), control: at(2)})
	}
	for _, e := range w.entries {
		if err := e.connect(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // all links are up, and one entry leads
	return nil
}

// freePorts returns ports that are free now, below the range from which the system chooses.
func freePorts(n int) ([]int, error) {
	var ports []int
	for port := 12000 + mrand.IntN(18000); port < 31000 && len(ports) < n; port++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errors.New("too few free ports")
	}
	return ports, nil
}

// connect opens the address at which the store serves an entry.
func (e *entry) connect() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &http.Server{Handler: http.HandlerFunc(e.serveStore), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = h.Serve(l) }()
	e.storeAt = l.Addr().String()
	return nil
}

// serveStore answers a call of this entry to the store.
func (e *entry) serveStore(rw http.ResponseWriter, q *http.Request) {
	if q.URL.Path == store.PathTx {
		time.Sleep(txTime)
	}
	time.Sleep(answerTime * time.Duration(max(e.w.slow.Load(), 1)))
	e.w.handler.ServeHTTP(rw, q)
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	var seeds []string
	for _, o := range e.w.entries[:3] {
		seeds = append(seeds, `"`+o.control+`"`)
	}
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
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
tolerate: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, recover_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_factor: 2, save_s: 0.5, restore_ms: 250, notice_ms: 4500, require_fence: true, lease_ms: 3000, resend_ms: 1300}
orders: "rpc"
platform: {addr: %q, form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 8.0, part_writes_s: 150, row_bytes: 65536, across: false, history_s: 20}
`, e.name, e.zone, e.front, e.ready, e.control, strings.Join(seeds, ", "), e.storeAt)
	file := filepath.Join(e.w.dir, e.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	binary, err := filepath.Abs("target/currantstall")
	if err != nil {
		return err
	}
	e.cmd = exec.Command(binary, "serve")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = e.w.dir, log, log
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTSTALL_NODE_FILE=" + file, "CURRANTSTALL_PEER_SECRET=change-me-for-each-deployment"}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	e.gone = make(chan struct{})
	go func() {
		_ = e.cmd.Wait()
		close(e.gone)
	}()
	return nil
}

func (e *entry) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		if resp, err := client.Get("http://" + e.ready + "/api/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// restart stops the process as the platform does in a planned stop, and starts it again.
func (e *entry) restart() {
	const grace, pause = 6 * time.Second, 500 * time.Millisecond
	e.w.rec.add("%s gets SIGTERM", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.gone:
	case <-time.After(grace):
		_ = e.cmd.Process.Kill()
		<-e.gone
	}
	time.Sleep(pause)
	err := e.start()
	e.w.rec.add("%s starts again: %v", e.name, err)
}

// leader returns the entry that has said last that it leads.
func (w *world) leader() (*entry, error) {
	var leads *entry
	for _, e := range w.entries {
		b, err := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
		if err != nil {
			return nil, err
		}
		last := ""
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, `"leader"`) && strings.Contains(line, `"lead":`) || strings.Contains(line, "msg=leader ") {
				last = line
			}
		}
		if strings.Contains(last, `"lead":true`) || strings.Contains(last, "lead=true") {
			leads = e
		}
	}
	if leads == nil {
		return nil, errors.New("no entry leads")
	}
	return leads, nil
}

// end ends all processes and stand-ins.
func (w *world) end() {
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			<-e.gone
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir))
	}
}

func (w *world) noteStart(e startEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, e)
}

// startsOf returns the starts of tasks of a job.
func (w *world) startsOf(job string) []startEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var of []startEvent
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			of = append(of, s)
		}
	}
	return of
}

// job is the body of a submission.
type job struct {
	Spec       string           `json:"spec"`
	Steps      []map[string]any `json:"steps"`
	BestEffort bool             `json:"best_effort,omitempty"`
	LongRun    bool             `json:"long_running,omitempty"`
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// call sends a request of a client on a connection of its own and records the answer. The status is 0 without one.
func (w *world) call(method, addr, path string, body any, deadline time.Duration) (int, string) {
	var content io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, content)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.rec.add("client %s %s at %s: no answer: %v", method, path, w.nameOf(addr), err)
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	text := strings.TrimSpace(string(b))
	w.rec.add("client %s %s at %s: %d %s", method, path, w.nameOf(addr), resp.StatusCode, text)
	return resp.StatusCode, text
}

func (w *world) nameOf(addr string) string {
	for _, e := range w.entries {
		if e.front == addr {
			return e.name
		}
	}
	return addr
}

// submit hands a job in, as often as its client has to, and reports whether it was accepted.
func (w *world) submit(at int, id string, j job) bool {
	for try := range 5 {
		e := w.entries[(at+try)%len(w.entries)]
		status, _ := w.call(http.MethodPost, e.front, queue+id, j, 3*time.Second)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, "" if there is no answer.
func (w *world) state(at int, id string) string {
	status, text := w.call(http.MethodGet, w.entries[at%len(w.entries)].front, queue+id, nil, 3*time.Second)
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}
