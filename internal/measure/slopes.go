package main

import (
	"context"
	"currantstall/platform/platformd"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"currantstall/internal/load"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/target"
)

const (
	settleTime          = 3 * time.Second // wait after a change before sampling
	sampleTime          = 6 * time.Second
	clockTicksPerSecond = 100 // unit of the times in /proc/<pid>/stat
	kib                 = 1024
	pageKiB             = 4
)

// entryCounts are the numbers of entries of one data centre.
var entryCounts = []int{2, 4, 7, 14}

// targetCounts are the numbers of fake targets of one data centre.
var targetCounts = []int{50, 500, 2000}

// loadRates are the requests per second over all entries.
var loadRates = []float64{200, 400, 800}

// measureSlopes measures the cost of an entry by the number of entries, targets
// and requests, and the recovery after the kill of one.
func measureSlopes(ctx context.Context, binary, dir string) error {
	if err := measureKills(ctx, binary, dir); err != nil {
		return err
	}
	for _, n := range entryCounts {
		if err := withEntries(ctx, binary, dir, n, func(m *measurement) error {
			return m.sampleUsage(ctx, fmt.Sprintf("idle_%d_entries", n))
		}); err != nil {
			return err
		}
	}
	for _, n := range targetCounts {
		if err := measureIdleTargets(ctx, binary, dir, n); err != nil {
			return err
		}
	}
	return withEntries(ctx, binary, dir, 4, func(m *measurement) error { return m.measureRisingLoad(ctx) })
}

// withEntries runs f on a data centre of n entries without targets.
func withEntries(ctx context.Context, binary, dir string, n int, f func(*measurement) error) error {
	m := &measurement{cluster: newCluster(binary, dir, []string{"dc-a"})}
	defer m.stop()
	if err := m.startPlatform(ctx); err != nil {
		return err
	}
	us := users()
	if err := m.startEntries(ctx, n, "shares"); err != nil {
		return err
	}
	if err := m.switchManifest(ctx, &us[0]); err != nil {
		return err
	}
	if err := m.awaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return f(m)
}

// usage is the usage of resources by all entries since their start.
type usage struct {
	cpu    float64 // seconds
	rss    float64 // bytes
	bytes  float64 // of message bodies sent to other entries
	frames float64
	reads  float64 // at the platform
	writes float64
}

// sampleUsage measures the usage over sampleTime and prints figures per entry.
func (m *measurement) sampleUsage(ctx context.Context, name string) error {
	before, err := m.usage(ctx)
	if err != nil {
		return err
	}
	time.Sleep(sampleTime)
	after, err := m.usage(ctx)
	if err != nil {
		return err
	}
	n := float64(len(m.entries))
	secs := sampleTime.Seconds()
	printFigure(100*(after.cpu-before.cpu)/secs/n, "percent_of_a_core", "slope_cpu_%s", name)
	printFigure(after.rss/n/kib/kib, "MiB", "slope_rss_%s", name)
	printFigure((after.bytes-before.bytes)/secs/n, "bytes/s", "slope_peer_bytes_%s", name)
	printFigure((after.frames-before.frames)/secs/n, "frames/s", "slope_peer_frames_%s", name)
	printFigure((after.reads-before.reads)/secs/n, "reads/s", "slope_platform_reads_%s", name)
	printFigure((after.writes-before.writes)/secs/n, "writes/s", "slope_platform_writes_%s", name)
	return nil
}

func (m *measurement) usage(ctx context.Context) (usage, error) {
	var u usage
	for _, p := range m.entries {
		cpu, rss, err := processUsage(p.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.rss += rss
	}
	sums, err := m.counters(ctx)
	if err != nil {
		return u, err
	}
	for name, v := range sums {
		switch {
		case strings.HasPrefix(name, "currantstall_peer_bytes_out"):
			u.bytes += v
		case strings.HasPrefix(name, "currantstall_peer_frames_out"):
			u.frames += v
		}
	}
	u.reads, u.writes, err = m.platformOps(ctx)
	return u, err
}

// platformOps returns the reads and writes that the platform has counted.
func (m *measurement) platformOps(ctx context.Context) (reads, writes float64, err error) {
	body, err := m.get(ctx, m.platformURL+"/stats")
	if err != nil {
		return 0, 0, err
	}
	var s struct {
		Reads  map[string]int64 `json:"reads"`
		Writes map[string]int64 `json:"writes"`
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return 0, 0, fmt.Errorf("decode stats: %w", err)
	}
	for _, n := range s.Reads {
		reads += float64(n)
	}
	for _, n := range s.Writes {
		writes += float64(n)
	}
	return reads, writes, nil
}

// processUsage returns processor seconds and resident bytes of a process.
// Source: proc(5), fields utime, stime and rss of /proc/<pid>/stat.
func processUsage(pid int) (cpu, rss float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("usage of a process: %w", err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("usage of a process: %d fields", len(fields))
	}
	number := func(i int) float64 {
		v, _ := strconv.ParseFloat(fields[i], 64)
		return v
	}
	return (number(11) + number(12)) / clockTicksPerSecond, number(21) * pageKiB * kib, nil
}

// measureIdleTargets measures two entries with n fake workers, which respond
// with usage reports and run nothing.
func measureIdleTargets(ctx context.Context, binary, dir string, n int) error {
	fakes, err := startFakeTargets(n)
	if err != nil {
		return err
	}
	defer fakes.stop()
	return withEntries(ctx, binary, dir, 2, func(m *measurement) error {
		client, err := platformd.NewRegistrar(m.platformURL)
		if err != nil {
			return err
		}
		defer client.Close()
		for i, addr := range fakes.addrs {
			vm := platform.VM{Name: fmt.Sprintf("fake-%d", i), Role: platform.RoleWorker, DC: "dc-a", Addr: addr, Size: structs.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10}}
			if err := m.poll(ctx, "announce", func() error { return client.Announce(ctx, vm) }); err != nil {
				return err
			}
		}
		time.Sleep(settleTime)
		return m.sampleUsage(ctx, fmt.Sprintf("idle_%d_targets", n))
	})
}

// fakeTargets are HTTP servers that respond to each request with an empty usage
// report.
type fakeTargets struct {
	addrs   []string
	servers []*http.Server
}

func startFakeTargets(n int) (*fakeTargets, error) {
	f := &fakeTargets{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, _ := json.Marshal(target.Usage{Tasks: []target.TaskUsage{}})
		w.Header().Set(target.HeaderChecksum, target.Checksum(body))
		_, _ = w.Write(body)
	})
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("listen for a fake target: %w", err)
		}
		s := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
		go func() { _ = s.Serve(ln) }()
		f.servers = append(f.servers, s)
		f.addrs = append(f.addrs, ln.Addr().String())
	}
	return f, nil
}

func (f *fakeTargets) stop() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// measureRisingLoad measures four entries with real targets under rising load.
func (m *measurement) measureRisingLoad(ctx context.Context) error {
	if err := m.startTargets(ctx, targetsPerRole); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for _, keyed := range []bool{false, true} {
		for _, rate := range loadRates {
			if err := m.measureRate(ctx, rate, keyed); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRate samples the entries under a load of short requests. The keys are
// minted by the entries, or by the caller; those of the caller need claims.
func (m *measurement) measureRate(ctx context.Context, rate float64, keyed bool) error {
	name := fmt.Sprintf("load_%.0f_unclaimed", rate)
	if keyed {
		name = fmt.Sprintf("load_%.0f_claimed", rate)
	}
	stream := load.Stream{
		Class: structs.Request, Kind: "unlock", Team: "a", Rate: rate, Tasks: 1,
		Arrivals: load.Poisson, ServiceTime: 50 * time.Millisecond, MaxServiceTime: maxServiceTime, Deadline: 2 * time.Second,
	}
	if keyed {
		stream.KeyDC = "dc-a"
	}
	done := make(chan error, 1)
	go func() {
		results, err := load.Run(ctx, load.Config{Addrs: m.addrs, Streams: []load.Stream{stream}, WarmUp: warmUp, Duration: sampleTime + settleTime, Seed: seed})
		if err == nil {
			r := &results[0]
			printFigure(float64(r.Latency.ValueAtQuantile(50))/1000, "ms", "slope_latency_p50_%s", name)
			printFigure(float64(r.Latency.ValueAtQuantile(99))/1000, "ms", "slope_latency_p99_%s", name)
			printFigure(r.ResponseRatioAt(50), "ratio", "slope_response_ratio_p50_%s", name)
			printFigure(r.ResponseRatioAt(99), "ratio", "slope_response_ratio_p99_%s", name)
			printFigure(fraction(r.Completed, r.Sent), "ratio", "slope_completed_%s", name)
		}
		done <- err
	}()
	time.Sleep(settleTime)
	if err := m.sampleUsage(ctx, name); err != nil {
		return err
	}
	return <-done
}
