package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/rendezvous"
	"currantstall/internal/verdict"
)

const (
	killRuns    = 5
	killBound   = 20 * time.Second // of one recovery
	killEvery   = 10 * time.Millisecond
	killTimeout = 2 * time.Second // of one request
)

// kills measures the time from the kill of an entry to the next answer to a
// request that may not be repeated and whose key had its home there.
func kills(ctx context.Context, binary, dir string) error {
	var times []time.Duration
	for range killRuns {
		err := withEntries(ctx, binary, dir, 3, func(m *measurement) error {
			defer m.killAll() // a planned stop would take long for no figure
			took, err := m.killOne(ctx)
			times = append(times, took)
			return err
		})
		if err != nil {
			return err
		}
	}
	slices.Sort(times)
	figure(float64(times[len(times)/2].Milliseconds()), "ms", "kill_to_next_served_median")
	figure(float64(times[len(times)-1].Milliseconds()), "ms", "kill_to_next_served_max")
	return nil
}

// killOne kills the last entry and asks another one until a key of the killed
// one's share is answered.
func (m *measurement) killOne(ctx context.Context) (time.Duration, error) {
	if err := m.startTargets(ctx, 2); err != nil {
		return 0, err
	}
	time.Sleep(settle)
	victim := len(m.entries) - 1
	if err := m.entries[victim].cmd.Process.Kill(); err != nil {
		return 0, fmt.Errorf("kill an entry: %w", err)
	}
	began := time.Now()
	names := []string{"entry-0", "entry-1", "entry-2"}
	for time.Since(began) < killBound {
		k, err := homeAt(names, victim)
		if err != nil {
			return 0, err
		}
		if m.serve(ctx, m.addrs[0], k) {
			return time.Since(began), nil
		}
		time.Sleep(killEvery)
	}
	return 0, fmt.Errorf("no key of the killed entry's share was served within %v", killBound)
}

// homeAt mints a key whose home is the entry of that index.
func homeAt(names []string, index int) (key.Key, error) {
	for {
		k, err := key.New("dc-a")
		if err != nil {
			return k, err
		}
		if first, _ := rendezvous.TopTwo(k.Hash(), names); first == index {
			return k, nil
		}
	}
}

// serve sends one request and reports whether it was answered.
func (m *measurement) serve(ctx context.Context, addr string, k key.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, killTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"key":%q,"kind":"unlock","team":"a","body":{"service_ms":1}}`, k)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/requests", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	var answer struct {
		Verdict verdict.Verdict `json:"verdict"`
	}
	return json.Unmarshal(text, &answer) == nil && answer.Verdict == verdict.Completed
}
