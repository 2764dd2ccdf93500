package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

func newStream(class structs.Class, tasks int) Stream {
	return Stream{
		Class: class, Kind: "unlock", Team: "a", Rate: 200, Arrivals: Poisson,
		Tasks: tasks, ServiceTime: 10 * time.Millisecond, Spread: 0.5, Deadline: 20 * time.Second,
	}
}

// TestRunCountsEachAnswerOnce checks that each call is counted once, under the
// verdict of its answer.
func TestRunCountsEachAnswerOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if r.URL.Path == "/v1/submissions" {
			var b submissionBody
			if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
				t.Error(err)
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"verdict": "completed", "answers": make([]struct{}, len(b.Tasks)-int(n%2))})
			return
		}
		switch n % 3 {
		case 0:
			_, _ = w.Write([]byte(`{"verdict":"completed","answer":{}}`))
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"verdict":"not_run","reason":"queue_full","retry_after_ms":5}`))
		case 2:
			_, _ = w.Write([]byte("nonsense"))
		}
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	cfg := Config{Addrs: []string{addr}, Streams: []Stream{newStream(structs.Request, 1)}, Duration: 300 * time.Millisecond, Seed: 1}

	results, err := Run(context.Background(), cfg)

	assert.NilError(t, err)
	r := results[0]
	assert.Equal(t, int64(r.Sent), calls.Load())
	assert.Assert(t, r.Sent > 0)
	refused := r.Refused[Refusal{verdict.NotRun, verdict.QueueFull}]
	noAnswer := r.Refused[Refusal{Reason: NoAnswer}]
	assert.Equal(t, r.Completed+refused+noAnswer, r.Sent)
	assert.Equal(t, r.Completed, r.Sent/3)
	assert.Equal(t, r.OnTime, r.Completed)
	assert.Equal(t, r.AllSent, r.Sent)
	assert.Equal(t, r.AllTasks, r.Completed)

	calls.Store(0)
	cfg.Streams = []Stream{newStream(structs.Job, 5)}
	results, err = Run(context.Background(), cfg)
	assert.NilError(t, err)
	r = results[0]
	// Every second answer lacks a task and counts as no answer.
	assert.Equal(t, r.Completed, r.Sent/2)
}

// TestCallsDependOnTheSeedOnly checks that two runs with the same seed send the
// same calls, whatever their outcomes.
func TestCallsDependOnTheSeedOnly(t *testing.T) {
	draw := func(seed uint64) int64 {
		var sum atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var b requestBody
			if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
				t.Error(err)
			}
			sum.Add(int64(b.Body.ServiceMS * 1e6))
			_, _ = w.Write([]byte(`{"verdict":"completed"}`))
		}))
		defer server.Close()
		_, err := Run(context.Background(), Config{
			Addrs: []string{strings.TrimPrefix(server.URL, "http://")}, Streams: []Stream{newStream(structs.Request, 1)},
			Duration: 200 * time.Millisecond, Seed: seed,
		})
		assert.NilError(t, err)
		return sum.Load()
	}
	assert.Equal(t, draw(1), draw(1))
	assert.Assert(t, draw(1) != draw(2))
}

func TestRunRejectsInvalidStreams(t *testing.T) {
	valid := newStream(structs.Request, 1)
	for want, change := range map[string]func(*Stream){
		"no class":         func(s *Stream) { s.Class = 0 },
		"no kind":          func(s *Stream) { s.Kind = "" },
		"not above 0":      func(s *Stream) { s.Rate = 0 },
		"neither poisson":  func(s *Stream) { s.Arrivals = "x" },
		"deadline 0s":      func(s *Stream) { s.Deadline = 0 },
		"\"unlock\": 671 ": func(s *Stream) { s.Class, s.Tasks = structs.Job, 671 },
	} {
		s := valid
		change(&s)
		_, err := Run(context.Background(), Config{Addrs: []string{"127.0.0.1:1"}, Streams: []Stream{s}})
		assert.ErrorContains(t, err, want)
	}
	_, err := Run(context.Background(), Config{})
	assert.ErrorContains(t, err, "no address")
}
