package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"time"

	"currantstall/internal/api"
	"currantstall/internal/client"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Config configures the demo.
type Config struct {
	// Manifests are applied one after the other.
	Manifests []Manifest
	// Listen is the address of the first entry; empty takes a free port.
	Listen string
	// Stay keeps the deployment running until the context ends.
	Stay bool
	Out  io.Writer
	Log  *slog.Logger
}

// Manifest is one user's manifest with the work that the demo sends under it.
type Manifest struct {
	Name  string
	Text  []byte
	Team  string
	Kinds []string // of requests
	Job   string   // kind of the job
	Tasks int      // of the job
}

const (
	requestsPerKind   = 20
	stepTimeout       = 30 * time.Second
	maxManifestSpread = 5 * time.Second
	accountLimit      = 10_000 // keys
)

// scenario runs the steps of the demo on the deployment and prints their
// results.
type scenario struct {
	cfg             Config
	cluster         *cluster
	clients         []*client.Client // one for each entry
	manifestVersion uint64           // in force
	repeatable      map[string]bool  // by kind
	accountedKeys   map[string]bool  // keys that the account has to list
}

// Run starts a deployment, checks the guarantees on it and stops it. It returns
// an error for the first broken guarantee.
func Run(ctx context.Context, cfg Config) error {
	kinds, err := repeatableKinds(cfg.Manifests)
	if err != nil {
		return err
	}
	c, err := startCluster(cfg.Log, cfg.Listen)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	s := &scenario{cfg: cfg, cluster: c, repeatable: kinds, accountedKeys: make(map[string]bool)}
	if err := s.run(ctx); err != nil {
		c.kill()
		return err
	}
	if cfg.Stay {
		s.printf("Serving on http://%s until interrupted.", c.entries[0].Addr())
		<-ctx.Done()
	}
	if err := c.stop(); err != nil {
		return err
	}
	s.printf("Every entry has drained and left its view.")
	return nil
}

func (s *scenario) printf(format string, args ...any) { fmt.Fprintf(s.cfg.Out, format+"\n", args...) }

// connectClients creates a client for each entry.
func (s *scenario) connectClients() error {
	for _, e := range s.cluster.entries {
		c, err := client.New("http://" + e.Addr())
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	return nil
}

// client returns the client of the entry with index i modulo the number of
// entries.
func (s *scenario) client(i int) *client.Client { return s.clients[i%len(s.clients)] }

func (s *scenario) run(ctx context.Context) error {
	if err := s.connectClients(); err != nil {
		return err
	}
	s.printf("%d data centres, %d entries, %d targets.", len(dataCentres), len(s.cluster.entries), len(s.cluster.targets))
	for i := range s.cfg.Manifests {
		if err := s.runManifest(ctx, &s.cfg.Manifests[i]); err != nil {
			return err
		}
	}
	return s.verifyAccount(ctx)
}

// runManifest applies one user's manifest and runs the steps under it.
func (s *scenario) runManifest(ctx context.Context, m *Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	steps := []func(context.Context, *Manifest) error{s.applyManifest, s.sendRequests, s.checkResubmission, s.checkRefusal, s.runJob}
	for _, step := range steps {
		if err := step(ctx, m); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return nil
}

// applyManifest applies the manifest and waits until it is in force at every
// entry.
func (s *scenario) applyManifest(ctx context.Context, m *Manifest) error {
	var version uint64
	start := time.Now()
	err := retryUntil(ctx, func() (err error) {
		version, err = s.client(0).Apply(ctx, s.manifestVersion, m.Text)
		return err
	})
	if err != nil {
		return fmt.Errorf("apply manifest: %w", err)
	}
	s.manifestVersion = version
	for i := range s.cluster.entries {
		err := retryUntil(ctx, func() error { return s.checkManifestVersion(ctx, i, version) })
		if err != nil {
			return err
		}
	}
	elapsed := time.Since(start)
	if elapsed > maxManifestSpread {
		return fmt.Errorf("manifest took %v to be in force at every entry, limit %v", elapsed, maxManifestSpread)
	}
	s.printf("%s: manifest version %d in force at every entry after %v.", m.Name, version, elapsed.Round(time.Millisecond))
	if err := s.cluster.awaitReady(ctx); err != nil {
		return err
	}
	for i := range s.cluster.entries {
		if err := retryUntil(ctx, func() error { return s.checkTargetsKnown(ctx, i) }); err != nil {
			return err
		}
	}
	return nil
}

// checkTargetsKnown returns nil if an entry knows all targets of its data
// centre. It learns them from the platform's VM list, which lags.
func (s *scenario) checkTargetsKnown(ctx context.Context, i int) error {
	st, err := s.client(i).Status(ctx)
	if err != nil {
		return err
	}
	if want := runnersPerDC + workersPerDC; st.Targets.Known != want {
		return fmt.Errorf("entry %s knows %d targets, want %d", st.Name, st.Targets.Known, want)
	}
	return nil
}

func (s *scenario) checkManifestVersion(ctx context.Context, i int, version uint64) error {
	st, err := s.client(i).Status(ctx)
	if err != nil {
		return err
	}
	if st.ManifestVersion != version {
		return fmt.Errorf("entry %s has manifest version %d, want %d", st.Name, st.ManifestVersion, version)
	}
	return nil
}

// sendRequests sends requests of each kind through all entries.
func (s *scenario) sendRequests(ctx context.Context, m *Manifest) error {
	for _, kind := range m.Kinds {
		var latencies []time.Duration
		for i := range requestsPerKind {
			start := time.Now()
			if _, err := s.sendRequest(ctx, i, api.RequestBody{Kind: kind, Team: m.Team}); err != nil {
				return err
			}
			latencies = append(latencies, time.Since(start))
		}
		slices.Sort(latencies)
		s.printf("%s: %d of %d %s requests answered, median %v.", m.Name, len(latencies), requestsPerKind, kind, latencies[len(latencies)/2].Round(time.Millisecond))
	}
	return nil
}

// sendRequest sends one request and checks that the answer is for its key.
func (s *scenario) sendRequest(ctx context.Context, i int, body api.RequestBody) (*api.RequestResponse, error) {
	body.Body = json.RawMessage(`{"service_ms":20}`)
	answer, err := s.client(i).Request(ctx, body)
	if err != nil {
		return nil, err
	}
	var result struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(answer.Answer, &result); err != nil {
		return nil, fmt.Errorf("decode the answer to request %s: %w", answer.Key, err)
	}
	if result.Key != answer.Key {
		return nil, fmt.Errorf("request %s got the answer of %s", answer.Key, result.Key)
	}
	s.recordRun(answer.Key, body.Kind)
	return &answer, nil
}

// checkResubmission sends one request twice, through entries of both data
// centres, and checks that both get the same answer from a single start.
func (s *scenario) checkResubmission(ctx context.Context, m *Manifest) error {
	k, err := s.mintKey(ctx)
	if err != nil {
		return err
	}
	kind := s.nonRepeatableKind(m)
	first, err := s.sendRequest(ctx, 0, api.RequestBody{Key: k, Kind: kind, Team: m.Team})
	if err != nil {
		return err
	}
	second, err := s.sendRequest(ctx, len(s.cluster.entries)-1, api.RequestBody{Key: k, Kind: kind, Team: m.Team})
	if err != nil {
		return fmt.Errorf("resubmission: %w", err)
	}
	if string(first.Answer) != string(second.Answer) {
		return fmt.Errorf("resubmission of request %s got a different answer", k)
	}
	if n := s.cluster.startsOf(k)[0]; n != 1 {
		return fmt.Errorf("request %s started %d times, want 1", k, n)
	}
	s.printf("%s: a resubmitted %s through the other data centre got the same answer; it started once.", m.Name, kind)
	return nil
}

// nonRepeatableKind returns the first kind, which is non-repeatable in each
// manifest.
func (s *scenario) nonRepeatableKind(m *Manifest) string { return m.Kinds[0] }

// checkRefusal checks that a job that fits on no worker is refused with not_run
// and starts nothing.
func (s *scenario) checkRefusal(ctx context.Context, m *Manifest) error {
	k, err := s.mintKey(ctx)
	if err != nil {
		return err
	}
	body := api.SubmissionBody{
		Key:   k,
		Kind:  m.Job,
		Team:  m.Team,
		Tasks: []json.RawMessage{json.RawMessage(`{}`)},
		Needs: &structs.Resources{MilliCPU: 1000, Accelerators: 4},
	}
	_, err = s.client(0).Submit(ctx, body)
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
		return fmt.Errorf("a job that fits nowhere was not refused with not_run: %v", err)
	}
	if n := len(s.cluster.startsOf(k)); n != 0 {
		return fmt.Errorf("job %s was refused with not_run but started %d tasks", k, n)
	}
	s.printf("%s: a job that fits nowhere was refused: %s. None of its tasks started.", m.Name, e.Message)
	return nil
}

// runJob submits a job and checks that it gets an answer for each task and that
// each task started once.
func (s *scenario) runJob(ctx context.Context, m *Manifest) error {
	k, err := s.mintKey(ctx)
	if err != nil {
		return err
	}
	body := api.SubmissionBody{Key: k, Kind: m.Job, Team: m.Team}
	for range m.Tasks {
		body.Tasks = append(body.Tasks, json.RawMessage(`{"service_ms":50}`))
	}
	start := time.Now()
	answer, err := s.client(1).Submit(ctx, body)
	if err != nil {
		return fmt.Errorf("submit the job: %w", err)
	}
	s.recordRun(k, m.Job)
	if len(answer.Answers) != m.Tasks {
		return fmt.Errorf("job %s got %d of %d answers", k, len(answer.Answers), m.Tasks)
	}
	starts := s.cluster.startsOf(k)
	for task := range m.Tasks {
		if starts[task] != 1 {
			return fmt.Errorf("task %d of job %s started %d times, want 1", task, k, starts[task])
		}
	}
	s.printf("%s: a job of %d tasks got all its answers after %v; each task started once.", m.Name, m.Tasks, time.Since(start).Round(time.Millisecond))
	return nil
}

func (s *scenario) mintKey(ctx context.Context) (string, error) {
	keys, err := s.client(0).Keys(ctx, 1)
	if err != nil {
		return "", fmt.Errorf("mint a key: %w", err)
	}
	return keys[0], nil
}
