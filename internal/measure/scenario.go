package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"currantstall/internal/load"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
)

const (
	warmUp      = 1500 * time.Millisecond
	countedTime = 4 * time.Second
	seed        = 1
	// failingFraction is the fraction of the runners that fails every task in
	// the run with faults.
	failingFraction = 0.1
)

// measurement is one run over all scenarios.
type measurement struct {
	*cluster
	quick           bool
	manifestVersion uint64 // of the manifest in force
	manifestUser    string // name of the user whose manifest it is
}

func (m *measurement) run(ctx context.Context) error {
	began := time.Now()
	if err := m.startPlatform(ctx); err != nil {
		return err
	}
	if err := m.startTargets(ctx, targetsPerRole); err != nil {
		return err
	}
	us := users()
	if err := m.deploy(ctx, "shares", &us[0]); err != nil {
		return err
	}
	printFigure(time.Since(began).Seconds(), "s", "start_of_deployment")
	if err := m.measureProductPolicy(ctx, us); err != nil {
		return err
	}
	if m.quick {
		return nil
	}
	for _, policy := range []string{"fifo", "take_turns"} {
		stopAll(m.entries)
		if err := m.deploy(ctx, policy, &us[0]); err != nil {
			return err
		}
		if err := m.measureResponse(ctx, policy, &us[0], 0.8); err != nil {
			return err
		}
		if err := m.measureFloods(ctx, policy, &us[0]); err != nil {
			return err
		}
	}
	printFigure(time.Since(began).Seconds(), "s", "whole_run")
	return m.printStarts(ctx)
}

// measureProductPolicy measures the policy that the product uses, shares.
func (m *measurement) measureProductPolicy(ctx context.Context, us []user) error {
	levels := []float64{0.3, 0.6, 0.8, 0.95}
	if m.quick {
		levels = []float64{0.8}
	}
	for _, part := range levels {
		if err := m.measureResponse(ctx, "shares", &us[0], part); err != nil {
			return err
		}
	}
	if err := m.measureFloods(ctx, "shares", &us[0]); err != nil || m.quick {
		return err
	}
	if err := m.measureFailingRunners(ctx, &us[0]); err != nil {
		return err
	}
	if err := m.switchManifest(ctx, &us[1]); err != nil {
		return err
	}
	if err := m.measureResponse(ctx, "shares", &us[1], 0.8); err != nil {
		return err
	}
	return m.measureFloods(ctx, "shares", &us[1])
}

// deploy starts the entries under a policy, applies a user's manifest and waits
// until the entries are ready.
func (m *measurement) deploy(ctx context.Context, policy string, u *user) error {
	if err := m.startEntries(ctx, numEntries, policy); err != nil {
		return err
	}
	if err := m.switchManifest(ctx, u); err != nil {
		return err
	}
	return m.awaitReady(ctx)
}

// switchManifest applies a user's manifest, unless it is in force.
func (m *measurement) switchManifest(ctx context.Context, u *user) error {
	if m.manifestUser == u.name {
		return nil
	}
	if err := m.applyManifest(ctx, m.manifestVersion, newManifest(u)); err != nil {
		return err
	}
	m.manifestVersion++
	m.manifestUser = u.name
	return nil
}

// runLoad sends streams and prints the report on the standard error.
func (m *measurement) runLoad(ctx context.Context, streams []load.Stream) ([]load.Result, error) {
	results, err := load.Run(ctx, load.Config{Addrs: m.addrs, Streams: streams, WarmUp: warmUp, Duration: countedTime, Seed: seed})
	if err != nil {
		return nil, err
	}
	return results, load.WriteReport(os.Stderr, results)
}

// measureResponse measures the response times against the ideal ones, and the
// messages, under a load that is a fraction of the capacity of runners and
// workers alike.
func (m *measurement) measureResponse(ctx context.Context, policy string, u *user, loadFraction float64) error {
	fmt.Fprintf(os.Stderr, "== %s %s at %.0f%%\n", policy, u.name, loadFraction*100)
	before, err := m.countMessages(ctx)
	if err != nil {
		return err
	}
	requests := loadByShare(u, loadFraction)
	results, err := m.runLoad(ctx, append(requests, jobLoad(loadFraction)...))
	if err != nil {
		return err
	}
	percent := int(loadFraction*100 + 0.5)
	prefix := fmt.Sprintf("%s_%s", policy, u.name)
	for i := range results {
		r := &results[i]
		name := "request_" + r.Stream.Kind
		if r.Stream.Class == structs.Job {
			name = fmt.Sprintf("job_%d", r.Stream.Tasks)
		}
		printFigure(r.ResponseRatioAt(50), "ratio", "response_ratio_p50_%s_%s_%d", prefix, name, percent)
		printFigure(r.ResponseRatioAt(99), "ratio", "response_ratio_p99_%s_%s_%d", prefix, name, percent)
		printFigure(fraction(r.OnTime, r.Sent), "ratio", "on_time_%s_%s_%d", prefix, name, percent)
	}
	return m.printMessages(ctx, before, results, fmt.Sprintf("%s_%d", prefix, percent))
}

// measureFailingRunners measures the messages while a fraction of the runners
// fails every task.
func (m *measurement) measureFailingRunners(ctx context.Context, u *user) error {
	fmt.Fprintln(os.Stderr, "== a tenth of the runners fails everything")
	vms, err := m.vms(ctx)
	if err != nil {
		return err
	}
	var failing []*platform.VM
	for i := range vms {
		if vms[i].Role == platform.RoleRunner && len(failing) < targetsPerRole*failingFraction {
			failing = append(failing, &vms[i])
		}
	}
	for _, vm := range failing {
		if err := m.setFaults(ctx, vm, map[string]bool{"fail_all": true}); err != nil {
			return err
		}
	}
	before, err := m.countMessages(ctx)
	if err != nil {
		return err
	}
	results, err := m.runLoad(ctx, loadByShare(u, 0.6))
	if err != nil {
		return err
	}
	completed, sent := 0, 0
	for i := range results {
		completed += results[i].Completed
		sent += results[i].Sent
	}
	printFigure(fraction(completed, sent), "ratio", "completed_10_percent_failing")
	if err := m.printMessages(ctx, before, results, "10_percent_failing"); err != nil {
		return err
	}
	for _, vm := range failing {
		if err := m.setFaults(ctx, vm, map[string]bool{}); err != nil {
			return err
		}
	}
	return nil
}

// measureFloods measures the service that the other kinds keep during a flood,
// and the fraction of the capacity that does useful work.
func (m *measurement) measureFloods(ctx context.Context, policy string, u *user) error {
	for _, f := range floods(u) {
		fmt.Fprintf(os.Stderr, "== %s %s flood from the %s\n", policy, u.name, f.name)
		without, err := m.runLoad(ctx, f.others)
		if err != nil {
			return err
		}
		with, err := m.runLoad(ctx, append(slices.Clone(f.others), f.floodStream))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s_%s_%s", policy, u.name, f.name)
		useful := time.Duration(0)
		for i := range with {
			useful += with[i].UsefulServiceTime
			if i < len(without) {
				printFigure(fraction(with[i].OnTime, without[i].OnTime), "ratio", "flood_kept_%s_%s_%s", with[i].Stream.Kind, with[i].Stream.Team, name)
				printFigure(with[i].ResponseRatioAt(99), "ratio", "flood_response_ratio_p99_%s_%s_%s", with[i].Stream.Kind, with[i].Stream.Team, name)
			}
		}
		last := &with[len(with)-1]
		printFigure(float64(useful)/float64(countedTime)/(targetsPerRole*slotsPerRunner), "ratio", "capacity_used_%s", name)
		printFigure(float64(last.RefusalLatency.ValueAtQuantile(50))/1000, "ms", "refusal_p50_%s", name)
		printFigure(fraction(last.Unsent, last.Unsent+last.Sent), "ratio", "flood_unsent_%s", name)
	}
	return nil
}

// messageCounts are the numbers of messages so far.
type messageCounts struct {
	peer       float64 // between entries, for work
	background float64 // between entries, not for work
	starts     int     // at targets
	byType     map[string]float64
}

// countMessages reads the message counters. A message type that is not known as
// background counts as work.
func (m *measurement) countMessages(ctx context.Context) (messageCounts, error) {
	var n messageCounts
	sums, err := m.counters(ctx)
	if err != nil {
		return n, err
	}
	n.byType = make(map[string]float64)
	for name, v := range sums {
		if !strings.HasPrefix(name, "currantstall_peer_messages_out{") {
			continue
		}
		if isBackground(name) {
			n.background += v
			continue
		}
		n.peer += v
		n.byType[messageType(name)] += v
	}
	for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
		starts, _, err := m.startCounts(ctx, role)
		if err != nil {
			return n, err
		}
		n.starts += starts
	}
	return n, nil
}

// messageType returns the value of a counter's only label.
func messageType(name string) string {
	_, rest, _ := strings.Cut(name, `"`)
	typ, _, _ := strings.Cut(rest, `"`)
	return typ
}

func isBackground(name string) bool {
	for _, t := range []string{"hello", "ping", "pong", "ack", "membership", "load", "manifest"} {
		if strings.Contains(name, `type="`+t) {
			return true
		}
	}
	return false
}

// printMessages prints the messages per request, in total and by type, and the
// wasted ones: those beyond one request and one answer per hop of the shortest
// path. These are the messages between entries, and two for each start too
// many.
func (m *measurement) printMessages(ctx context.Context, before messageCounts, results []load.Result, name string) error {
	time.Sleep(1200 * time.Millisecond) // the counters are reported once a second
	after, err := m.countMessages(ctx)
	if err != nil {
		return err
	}
	// The counters include the warm-up, so they are compared with all calls.
	calls, tasks := 0, 0
	for i := range results {
		calls += results[i].AllSent
		tasks += results[i].AllTasks
	}
	n := float64(max(1, calls))
	peer := after.peer - before.peer
	printFigure(peer/n, "messages", "peer_messages_per_request_%s", name)
	printFigure((after.background-before.background)/n, "messages", "background_messages_per_request_%s", name)
	for _, typ := range slices.Sorted(maps.Keys(after.byType)) {
		printFigure((after.byType[typ]-before.byType[typ])/n, "messages", "peer_messages_%s_per_request_%s", typ, name)
	}
	extra := max(0, after.starts-before.starts-tasks)
	printFigure((peer+2*float64(extra))/n, "messages", "wasted_messages_per_request_%s", name)
	return nil
}

// printStarts prints the starts at the targets and the tasks that one target
// started more than once.
func (m *measurement) printStarts(ctx context.Context) error {
	for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
		starts, twice, err := m.startCounts(ctx, role)
		if err != nil {
			return err
		}
		printFigure(float64(starts), "tasks", "starts_%s", role)
		printFigure(float64(twice), "tasks", "started_twice_at_one_%s", role)
	}
	return nil
}

func fraction(a, b int) float64 { return float64(a) / float64(max(1, b)) }
