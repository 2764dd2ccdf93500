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
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	service = "paygo"
	host    = "nony24.example"
	// IDs of jobs begin with one of these, so that the runners of a case know tasks that last.
	longRunningID = "aaaa"
	shortID       = "bbbb"
	resend        = 1300 * time.Millisecond
)

// entryProcess is one entry, a process of its own with the command of the deploy file.
type entryProcess struct {
	name, zone, front, ready, control, store, log string
	file                                          string
	cmd                                           *exec.Cmd
	http                                          *http.Client
}

// cluster is a small deployment on loopback addresses: 7 entries in 3 data centres, 48
// runners, the platform's store.
type cluster struct {
	root, dir string
	rec       *record
	net       *network
	store     *storeStandin
	runners   []*runner
	entries   []*entryProcess
	jobs      int
}

var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c"}

// kindOf returns the kind of a runner: 3 of 48 are of kind g.
func kindOf(i int) string {
	if i%16 == 0 {
		return "g"
	}
	return []string{"a", "a", "b"}[i%3]
}

// freePorts returns ports of the loopback address that are free now. They are below the
// range from which the system chooses ports, so that nothing else takes them meanwhile.
func freePorts(n int) ([]int, error) {
	const lowest, highest, tries = 12000, 31000, 1000
	var ports []int
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if !slices.Contains(ports, port) {
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// start starts the deployment and waits until all entries are ready. attempts is that of the
// queue. With an error it returns the deployment too if processes may have been started.
func start(root, dir string, rec *record, attempts int) (*cluster, error) {
	n := newNetwork()
	s, err := newStoreStandin(n)
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, rec: rec, net: n, store: s}
	s.put("op", "config", map[string]any{
		"version": 7, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": service, "admission_check": false}},
		"routes": []map[string]any{{
			"name": "r-topup", "host": host, "prefix": "/topup/", "service": service, "prio": 0, "attempts": attempts, "stretch": 1.6, "slo_ms": 60, "timeout_ms": 1500,
		}},
	})
	for i := range 48 {
		r, err := newRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), zones[i/16], kindOf(i), fmt.Sprintf("r%d-%d", i/16+1, i%16/8+1), rec, s)
		if err != nil {
			return nil, err
		}
		c.runners = append(c.runners, r)
	}
	ports, err := freePorts(3 * 7)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 7 {
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[3*i+k]) }
		zone := zones[[]int{0, 0, 0, 1, 1, 2, 2}[i]]
		e := &entryProcess{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: at(0), ready: at(1), control: at(2),
			http: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
		if i == 0 || i == 3 || i == 5 {
			seeds = append(seeds, e.control)
		}
		c.entries = append(c.entries, e)
	}
	for _, e := range c.entries {
		if err := c.connect(e); err != nil {
			return c, err
		}
	}
	for _, e := range c.entries {
		if err := c.launch(e, seeds); err != nil {
			return c, err
		}
	}
	for _, e := range c.entries {
		if err := c.awaitReady(e); err != nil {
			return c, err
		}
	}
	time.Sleep(4 * time.Second) // the leader reads all lists
	return c, nil
}

// connect gives an entry its addresses for the other entries and the runners.
func (c *cluster) connect(e *entryProcess) error {
	for _, to := range c.entries {
		if to == e {
			continue
		}
		if err := c.net.servePeer(e, to); err != nil {
			return err
		}
	}
	for _, r := range c.runners {
		if err := c.net.serveRunner(e, r); err != nil {
			return err
		}
	}
	return nil
}

// addRunner adds a runner to the running deployment.
func (c *cluster) addRunner(id, zone, kind, rack string) error {
	r, err := newRunner(id, zone, kind, rack, c.rec, c.store)
	if err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.net.serveRunner(e, r); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of an entry.
func (c *cluster) launch(e *entryProcess, seeds []string) error {
	if e.store == "" {
		at, err := c.store.listen(e.name)
		if err != nil {
			return err
		}
		e.store = at
	}
	var own []string
	for _, seed := range seeds {
		own = append(own, c.net.routed(e.name, seed))
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
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_ms: 2000, recover_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, lease_ms: 3000, notice_ms: 4500, resend_ms: 1300}
orders: "rpc"
platform: {addr: %q, form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 8.0, part_writes_s: 150, row_bytes: 65536, across: false, history_s: 20}
`, e.name, e.zone, e.front, e.ready, e.control, `"`+strings.Join(own, `", "`)+`"`, e.store)
	e.file, e.log = filepath.Join(c.dir, e.name+".yaml"), filepath.Join(c.dir, e.name+".log")
	if err := os.WriteFile(e.file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(filepath.Join(c.root, "target", "currantstall"), "serve")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = c.root, out, out
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTSTALL_NODE_FILE=" + e.file,
		"CURRANTSTALL_PEER_SECRET=change-me-for-each-deployment"}
	return e.cmd.Start()
}

func (c *cluster) awaitReady(e *entryProcess) error {
	for range 300 {
		if resp, err := e.http.Get("http://" + e.ready + "/api/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	for _, e := range c.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
}

// leader returns the entry whose log says last that it leads.
func (c *cluster) leader() (*entryProcess, error) {
	var found *entryProcess
	for _, e := range c.entries {
		b, err := os.ReadFile(e.log)
		if err != nil {
			return nil, err
		}
		leads := false
		for _, line := range bytes.Split(b, []byte("\n")) {
			var l struct {
				Msg  string `json:"msg"`
				Lead bool   `json:"lead"`
			}
			if json.Unmarshal(line, &l) == nil && l.Msg == "leader" {
				leads = l.Lead
			}
		}
		if leads {
			found = e
		}
	}
	if found == nil {
		return nil, errors.New("no entry leads")
	}
	return found, nil
}

func (c *cluster) signal(e *entryProcess, s syscall.Signal) {
	c.rec.add("signal", "entry", e.name, "signal", s.String())
	_ = e.cmd.Process.Signal(s)
}

// call sends one request of a client and records it with its answer.
func (c *cluster) call(e *entryProcess, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+"/topup/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", "5000")
	c.rec.add("sent", "method", method, "job", id, "entry", e.name)
	status, got := 0, ""
	if resp, err := e.http.Do(q); err == nil {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, got = resp.StatusCode, strings.TrimSpace(string(b))
	}
	c.rec.add("answered", "method", method, "job", id, "entry", e.name, "status", status, "body", got)
	return status, got
}

// others returns the entries except one.
func (c *cluster) others(not *entryProcess) []*entryProcess {
	var list []*entryProcess
	for _, e := range c.entries {
		if e != not {
			list = append(list, e)
		}
	}
	return list
}

// nextID returns the ID of a new job.
func (c *cluster) nextID(prefix string) string {
	c.jobs++
	return fmt.Sprintf("%s%012x", prefix, c.jobs)
}

// job returns the body of a stored job of one step.
func job(count int, spec work, step string) string {
	if step != "" {
		step = "," + step
	}
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d,"cpu":20000,"mem_mb":64,"est_ms":%d%s}]}`, mustJSON(string(mustJSON(spec))), count, spec.MS, step)
}

// state asks for the state of a job at several entries until one answers.
func (c *cluster) state(id string, at []*entryProcess) (int, string) {
	status, body := 0, ""
	for _, e := range at {
		if status, body = c.call(e, http.MethodGet, id, ""); status == http.StatusOK || status == http.StatusGone {
			break
		}
	}
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &s)
	return status, s.State
}
