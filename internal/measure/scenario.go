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
	warmUp = 1500 * time.Millisecond
	window = 4 * time.Second
	seed   = 1
	// failingPart of the runners fails everything in the run with faults.
	failingPart = 0.1
)

// measurement is one run over all scenarios.
type measurement struct {
	*cluster
	quick   bool
	version uint64 // of the manifest
	user    string // whose manifest it is
}

func (m *measurement) run(ctx context.Context) error {
	began := time.Now()
	if err := m.startPlatform(ctx); err != nil {
		return err
	}
	if err := m.startTargets(ctx, numTargets); err != nil {
		return err
	}
	us := users()
	if err := m.deploy(ctx, "shares", &us[0]); err != nil {
		return err
	}
	figure(time.Since(began).Seconds(), "s", "start_of_deployment")
	if err := m.product(ctx, us); err != nil {
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
		if err := m.response(ctx, policy, &us[0], 0.8); err != nil {
			return err
		}
		if err := m.floods(ctx, policy, &us[0]); err != nil {
			return err
		}
	}
	figure(time.Since(began).Seconds(), "s", "whole_run")
	return m.twice(ctx)
}

// product measures the policy of the product.
func (m *measurement) product(ctx context.Context, us []user) error {
	levels := []float64{0.3, 0.6, 0.8, 0.95}
	if m.quick {
		levels = []float64{0.8}
	}
	for _, part := range levels {
		if err := m.response(ctx, "shares", &us[0], part); err != nil {
			return err
		}
	}
	if err := m.floods(ctx, "shares", &us[0]); err != nil || m.quick {
		return err
	}
	if err := m.failing(ctx, &us[0]); err != nil {
		return err
	}
	if err := m.adopt(ctx, &us[1]); err != nil {
		return err
	}
	if err := m.response(ctx, "shares", &us[1], 0.8); err != nil {
		return err
	}
	return m.floods(ctx, "shares", &us[1])
}

// deploy starts the entries under a policy and a user's manifest.
func (m *measurement) deploy(ctx context.Context, policy string, u *user) error {
	if err := m.startEntries(ctx, numEntries, policy); err != nil {
		return err
	}
	if err := m.adopt(ctx, u); err != nil {
		return err
	}
	return m.ready(ctx)
}

// adopt puts a user's manifest in force.
func (m *measurement) adopt(ctx context.Context, u *user) error {
	if m.user == u.name {
		return nil
	}
	if err := m.applyManifest(ctx, m.version, newManifest(u)); err != nil {
		return err
	}
	m.version++
	m.user = u.name
	return nil
}

// drive sends streams and notes on the standard error what was refused.
func (m *measurement) drive(ctx context.Context, streams []load.Stream) ([]load.Result, error) {
	results, err := load.Run(ctx, load.Config{Addrs: m.addrs, Streams: streams, WarmUp: warmUp, Duration: window, Seed: seed})
	if err != nil {
		return nil, err
	}
	return results, load.Write(os.Stderr, results)
}

// response measures times against the ideal, and at the middle loads the
// messages, at a part of the capacity of runners and workers alike.
func (m *measurement) response(ctx context.Context, policy string, u *user, part float64) error {
	fmt.Fprintf(os.Stderr, "== %s %s at %.0f%%\n", policy, u.name, part*100)
	before, err := m.messages(ctx)
	if err != nil {
		return err
	}
	requests := evenLoad(u, part)
	results, err := m.drive(ctx, append(requests, jobLoad(part)...))
	if err != nil {
		return err
	}
	percent := int(part*100 + 0.5)
	prefix := fmt.Sprintf("%s_%s", policy, u.name)
	for i := range results {
		r := &results[i]
		name := "request_" + r.Stream.Kind
		if r.Stream.Class == structs.Job {
			name = fmt.Sprintf("job_%d", r.Stream.Tasks)
		}
		figure(r.RatioAt(50), "ratio", "response_ratio_p50_%s_%s_%d", prefix, name, percent)
		figure(r.RatioAt(99), "ratio", "response_ratio_p99_%s_%s_%d", prefix, name, percent)
		figure(fraction(r.OnTime, r.Sent), "ratio", "on_time_%s_%s_%d", prefix, name, percent)
	}
	return m.wasted(ctx, before, results, fmt.Sprintf("%s_%d", prefix, percent))
}

// failing measures the messages with a part of the runners failing all.
func (m *measurement) failing(ctx context.Context, u *user) error {
	fmt.Fprintln(os.Stderr, "== a tenth of the runners fails everything")
	vms, err := m.vms(ctx)
	if err != nil {
		return err
	}
	var failing []*platform.VM
	for i := range vms {
		if vms[i].Role == platform.RoleRunner && len(failing) < numTargets*failingPart {
			failing = append(failing, &vms[i])
		}
	}
	for _, vm := range failing {
		if err := m.setFaults(ctx, vm, map[string]bool{"fail_all": true}); err != nil {
			return err
		}
	}
	before, err := m.messages(ctx)
	if err != nil {
		return err
	}
	results, err := m.drive(ctx, evenLoad(u, 0.6))
	if err != nil {
		return err
	}
	completed, sent := 0, 0
	for i := range results {
		completed += results[i].Completed
		sent += results[i].Sent
	}
	figure(fraction(completed, sent), "ratio", "completed_10_percent_failing")
	if err := m.wasted(ctx, before, results, "10_percent_failing"); err != nil {
		return err
	}
	for _, vm := range failing {
		if err := m.setFaults(ctx, vm, map[string]bool{}); err != nil {
			return err
		}
	}
	return nil
}

// floods measures what other kinds keep and how much of the capacity works.
func (m *measurement) floods(ctx context.Context, policy string, u *user) error {
	for _, f := range floods(u) {
		fmt.Fprintf(os.Stderr, "== %s %s flood from the %s\n", policy, u.name, f.name)
		without, err := m.drive(ctx, f.base)
		if err != nil {
			return err
		}
		with, err := m.drive(ctx, append(slices.Clone(f.base), f.extra))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s_%s_%s", policy, u.name, f.name)
		useful := time.Duration(0)
		for i := range with {
			useful += with[i].Useful
			if i < len(without) {
				figure(fraction(with[i].OnTime, without[i].OnTime), "ratio", "flood_kept_%s_%s_%s", with[i].Stream.Kind, with[i].Stream.Team, name)
				figure(with[i].RatioAt(99), "ratio", "flood_response_ratio_p99_%s_%s_%s", with[i].Stream.Kind, with[i].Stream.Team, name)
			}
		}
		last := &with[len(with)-1]
		figure(float64(useful)/float64(window)/(numTargets*slots), "ratio", "capacity_used_%s", name)
		figure(float64(last.RefusalLatency.ValueAtQuantile(50))/1000, "ms", "refusal_p50_%s", name)
		figure(fraction(last.Unsent, last.Unsent+last.Sent), "ratio", "flood_unsent_%s", name)
	}
	return nil
}

// counts are numbers of messages.
type counts struct {
	peer       float64 // between entries, for work
	background float64 // between entries, besides
	starts     int     // at targets
	byType     map[string]float64
}

// messages reads the counters. A message type that is not known as background
// counts as work.
func (m *measurement) messages(ctx context.Context) (counts, error) {
	var n counts
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
		n.byType[typeOf(name)] += v
	}
	for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
		starts, _, err := m.starts(ctx, role)
		if err != nil {
			return n, err
		}
		n.starts += starts
	}
	return n, nil
}

// typeOf returns the value of a counter's only label.
func typeOf(name string) string {
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

// wasted prints the messages beyond one request and one answer a hop of the
// shortest path: those between entries, and two for each start too many.
func (m *measurement) wasted(ctx context.Context, before counts, results []load.Result, name string) error {
	time.Sleep(1200 * time.Millisecond) // the counters are reported once a second
	after, err := m.messages(ctx)
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
	figure(peer/n, "messages", "peer_messages_per_request_%s", name)
	figure((after.background-before.background)/n, "messages", "background_messages_per_request_%s", name)
	for _, typ := range slices.Sorted(maps.Keys(after.byType)) {
		figure((after.byType[typ]-before.byType[typ])/n, "messages", "peer_messages_%s_per_request_%s", typ, name)
	}
	extra := max(0, after.starts-before.starts-tasks)
	figure((peer+2*float64(extra))/n, "messages", "wasted_messages_per_request_%s", name)
	return nil
}

// twice prints how many tasks any target started more than once.
func (m *measurement) twice(ctx context.Context) error {
	for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
		starts, twice, err := m.starts(ctx, role)
		if err != nil {
			return err
		}
		figure(float64(starts), "tasks", "starts_%s", role)
		figure(float64(twice), "tasks", "started_twice_at_one_%s", role)
	}
	return nil
}

func fraction(a, b int) float64 { return float64(a) / float64(max(1, b)) }
