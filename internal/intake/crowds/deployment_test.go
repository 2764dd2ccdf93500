package crowds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/platform/platformd"
	"currantstall/platform/soak"
	"currantstall/platform/store"
)

const (
	targets        = 2
	targetMilliCPU = 32_000
	targetMemoryMB = 131_072
	rowInterval    = time.Second // between two writes of a target's row
	bulkPrefix     = "/bulk/"    // of the queue of the crowds, which is less urgent than that of ordinary callers
)

// startTargets starts targets in a process of their own and keeps their rows in the store.
func startTargets(t *testing.T, s *platformd.Server) {
	t.Helper()
	specs := make([]soak.RunnerSpec, targets)
	for i := range specs {
		specs[i] = soak.RunnerSpec{ID: fmt.Sprintf("i-%d", i), DC: "dc-1", Kind: "general", Rack: "rack-1", MilliCPU: targetMilliCPU, MemoryMB: targetMemoryMB, Plain: true}
	}
	p, err := soak.StartRunnerProcess(targetsBinary, specs, new(soak.Recorder))
	assert.NilError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		p.Kill()
	})
	put := func(seq int) {
		for _, r := range specs {
			row, err := json.Marshal(map[string]any{
				"service": service, "addr": p.Addrs()[r.ID], "zone": r.DC, "version": "1", "slots": 8, "state": "ready", "seq": seq, "born": p.Born(r.ID),
				"capacity": map[string]any{"cpu": r.MilliCPU, "mem_mb": r.MemoryMB, "gpu": 0}, "labels": []string{r.Kind, r.Rack},
			})
			assert.Check(t, err)
			s.Store.Put(store.TargetTable, r.ID, row)
		}
	}
	put(0)
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(rowInterval):
				put(seq)
			}
		}
	}()
}

// startDeployment starts linked entries on the platform's settings, with targets.
func startDeployment(t *testing.T, entries int) []*process {
	t.Helper()
	s := startStore(t, route("unlock", queuePrefix, 0), route("bulk", bulkPrefix, 1))
	startTargets(t, s)
	addrs := freeAddrs(t, 3*entries)
	ps := make([]*process, entries)
	var job atomic.Int64
	for i := range ps {
		p := launchServe(t, s, fmt.Sprintf("entry-%d", i+1), addrs[3*i:3*i+3])
		p.ask = func() error {
			url := "http://" + p.servers["callers"] + queuePrefix + fmt.Sprintf("%016x", job.Add(1))
			state, err := answer(http.MethodPost, url, queueHost, `{"spec":"{\"ms\":1,\"how\":\"done\"}","steps":[{"count":1,"cpu":10,"est_ms":1}],"best_effort":true}`)
			if err == nil && !strings.Contains(state, "complete") {
				err = fmt.Errorf("the job is not complete: %s", state)
			}
			return err
		}
		ps[i] = p
	}
	for _, p := range ps {
		p.eventually("serves in calm", p.ask)
	}
	return ps
}
