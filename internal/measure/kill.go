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
	killRuns           = 5
	recoveryTimeout    = 20 * time.Second // until a key of the killed entry is served
	killRetryInterval  = 10 * time.Millisecond
	killRequestTimeout = 2 * time.Second // of one request
)

// measureKills measures the time from the kill of an entry to the next answer
// to a non-repeatable request with a key whose home was that entry.
func measureKills(ctx context.Context, binary, dir string) error {
	var times []time.Duration
	for range killRuns {
		err := withEntries(ctx, binary, dir, 3, func(m *measurement) error {
			defer m.killAll() // a planned stop takes longer and yields no figure
			took, err := m.measureKill(ctx)
			times = append(times, took)
			return err
		})
		if err != nil {
			return err
		}
	}
	slices.Sort(times)
	printFigure(float64(times[len(times)/2].Milliseconds()), "ms", "kill_to_next_served_median")
	printFigure(float64(times[len(times)-1].Milliseconds()), "ms", "kill_to_next_served_max")
	return nil
}

// measureKill kills the last entry and sends requests through another one until
// a request with a key from the share of the killed entry completes.
func (m *measurement) measureKill(ctx context.Context) (time.Duration, error) {
	if err := m.startTargets(ctx, 2); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	victim := len(m.entries) - 1
	if err := m.entries[victim].cmd.Process.Kill(); err != nil {
		return 0, fmt.Errorf("kill an entry: %w", err)
	}
	began := time.Now()
	names := []string{"entry-0", "entry-1", "entry-2"}
	for time.Since(began) < recoveryTimeout {
		k, err := mintKeyWithHome(names, victim)
		if err != nil {
			return 0, err
		}
		if m.requestCompletes(ctx, m.addrs[0], k) {
			return time.Since(began), nil
		}
		time.Sleep(killRetryInterval)
	}
	return 0, fmt.Errorf("no key of the killed entry's share was served within %v", recoveryTimeout)
}

// mintKeyWithHome mints a key whose home is the entry with that index.
func mintKeyWithHome(names []string, index int) (key.Key, error) {
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

// requestCompletes sends one request and reports whether it completed.
func (m *measurement) requestCompletes(ctx context.Context, addr string, k key.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, killRequestTimeout)
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
