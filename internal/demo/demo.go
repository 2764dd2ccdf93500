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

// Config says what the demo runs on.
type Config struct {
	// Manifests are the files to apply, one after the other.
	Manifests []Manifest
	// Listen is the address of the first entry; empty takes a free port.
	Listen string
	// Stay keeps the deployment up until the context ends.
	Stay bool
	Out  io.Writer
	Log  *slog.Logger
}

// Manifest is one user's manifest with the work to show on it.
type Manifest struct {
	Name  string
	Text  []byte
	Team  string
	Kinds []string // of requests
	Job   string   // kind of the job
	Tasks int      // of the job
}

const (
	requestsPerKind = 20
	stepTimeout     = 30 * time.Second
	spreadBound     = 5 * time.Second
	accountLimit    = 10_000 // keys
)

// show carries the deployment and the output through the steps.
type show struct {
	cfg        Config
	c          *cluster
	clients    []*client.Client // one for each entry
	base       uint64           // manifest version in force
	repeatable map[string]bool  // by kind
	ran        map[string]bool  // keys that have to be in the account
}

// Run starts a deployment, shows the promises on it and stops it. It returns
// the first promise that broke.
func Run(ctx context.Context, cfg Config) error {
	kinds, err := repeatable(cfg.Manifests)
	if err != nil {
		return err
	}
	c, err := startCluster(cfg.Log, cfg.Listen)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	s := &show{cfg: cfg, c: c, repeatable: kinds, ran: make(map[string]bool)}
	if err := s.run(ctx); err != nil {
		c.kill()
		return err
	}
	if cfg.Stay {
		s.say("Serving on http://%s until interrupted.", c.entries[0].Addr())
		<-ctx.Done()
	}
	if err := c.stop(); err != nil {
		return err
	}
	s.say("Every entry has drained and left its view.")
	return nil
}

func (s *show) say(format string, args ...any) { fmt.Fprintf(s.cfg.Out, format+"\n", args...) }

// connect makes a client for each entry.
func (s *show) connect() error {
	for _, e := range s.c.entries {
		c, err := client.New("http://" + e.Addr())
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	return nil
}

// entry returns the client of an entry, by its index round the deployment.
func (s *show) entry(i int) *client.Client { return s.clients[i%len(s.clients)] }

func (s *show) run(ctx context.Context) error {
	if err := s.connect(); err != nil {
		return err
	}
	s.say("%d data centres, %d entries, %d targets.", len(dataCentres), len(s.c.entries), len(s.c.targets))
	for i := range s.cfg.Manifests {
		if err := s.manifest(ctx, &s.cfg.Manifests[i]); err != nil {
			return err
		}
	}
	return s.account(ctx)
}

// manifest applies one user's manifest and shows its work.
func (s *show) manifest(ctx context.Context, m *Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	steps := []func(context.Context, *Manifest) error{s.apply, s.requests, s.resubmission, s.refusal, s.job}
	for _, step := range steps {
		if err := step(ctx, m); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return nil
}

// apply has the manifest accepted and waits until it is in force everywhere.
func (s *show) apply(ctx context.Context, m *Manifest) error {
	var version uint64
	began := time.Now()
	err := until(ctx, func() (err error) {
		version, err = s.entry(0).Apply(ctx, s.base, m.Text)
		return err
	})
	if err != nil {
		return fmt.Errorf("apply manifest: %w", err)
	}
	s.base = version
	for i := range s.c.entries {
		err := until(ctx, func() error { return s.inForce(ctx, i, version) })
		if err != nil {
			return err
		}
	}
	spread := time.Since(began)
	if spread > spreadBound {
		return fmt.Errorf("manifest took %v to be in force everywhere, bound %v", spread, spreadBound)
	}
	s.say("%s: manifest version %d in force at every entry after %v.", m.Name, version, spread.Round(time.Millisecond))
	if err := s.c.awaitReady(ctx); err != nil {
		return err
	}
	for i := range s.c.entries {
		if err := until(ctx, func() error { return s.targetsKnown(ctx, i) }); err != nil {
			return err
		}
	}
	return nil
}

// targetsKnown returns nil once an entry has all targets of its data centre
// from the platform's lagging list.
func (s *show) targetsKnown(ctx context.Context, i int) error {
	st, err := s.entry(i).Status(ctx)
	if err != nil {
		return err
	}
	if want := runnersPerDC + workersPerDC; st.Targets.Known != want {
		return fmt.Errorf("entry %s knows %d targets, want %d", st.Name, st.Targets.Known, want)
	}
	return nil
}

func (s *show) inForce(ctx context.Context, i int, version uint64) error {
	st, err := s.entry(i).Status(ctx)
	if err != nil {
		return err
	}
	if st.ManifestVersion != version {
		return fmt.Errorf("entry %s has manifest version %d, want %d", st.Name, st.ManifestVersion, version)
	}
	return nil
}

// requests sends requests of each kind through all entries.
func (s *show) requests(ctx context.Context, m *Manifest) error {
	for _, kind := range m.Kinds {
		var took []time.Duration
		for i := range requestsPerKind {
			began := time.Now()
			if _, err := s.request(ctx, i, api.RequestBody{Kind: kind, Team: m.Team}); err != nil {
				return err
			}
			took = append(took, time.Since(began))
		}
		slices.Sort(took)
		s.say("%s: %d of %d %s requests answered, median %v.", m.Name, len(took), requestsPerKind, kind, took[len(took)/2].Round(time.Millisecond))
	}
	return nil
}

// request sends one request and checks that the answer is its own.
func (s *show) request(ctx context.Context, i int, body api.RequestBody) (*api.RequestResponse, error) {
	body.Body = json.RawMessage(`{"service_ms":20}`)
	answer, err := s.entry(i).Request(ctx, body)
	if err != nil {
		return nil, err
	}
	var own struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(answer.Answer, &own); err != nil {
		return nil, fmt.Errorf("answer of %s: %w", answer.Key, err)
	}
	if own.Key != answer.Key {
		return nil, fmt.Errorf("request %s got the answer of %s", answer.Key, own.Key)
	}
	s.note(answer.Key, body.Kind)
	return &answer, nil
}

// resubmission sends one request twice, through entries of both data centres.
func (s *show) resubmission(ctx context.Context, m *Manifest) error {
	k, err := s.newKey(ctx)
	if err != nil {
		return err
	}
	kind := s.notRepeatable(m)
	first, err := s.request(ctx, 0, api.RequestBody{Key: k, Kind: kind, Team: m.Team})
	if err != nil {
		return err
	}
	second, err := s.request(ctx, len(s.c.entries)-1, api.RequestBody{Key: k, Kind: kind, Team: m.Team})
	if err != nil {
		return fmt.Errorf("resubmission: %w", err)
	}
	if string(first.Answer) != string(second.Answer) {
		return fmt.Errorf("resubmission of %s got another answer", k)
	}
	if n := s.c.starts(k)[0]; n != 1 {
		return fmt.Errorf("%s started %d times", k, n)
	}
	s.say("%s: a resubmitted %s through the other data centre got the same answer; it started once.", m.Name, kind)
	return nil
}

// notRepeatable is the first kind, which each manifest has as such.
func (s *show) notRepeatable(m *Manifest) string { return m.Kinds[0] }

// refusal submits a job that no worker can hold.
func (s *show) refusal(ctx context.Context, m *Manifest) error {
	k, err := s.newKey(ctx)
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
	_, err = s.entry(0).Submit(ctx, body)
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
		return fmt.Errorf("a job that fits nowhere was not refused with not_run: %v", err)
	}
	if n := len(s.c.starts(k)); n != 0 {
		return fmt.Errorf("%s was refused with not_run and started %d tasks", k, n)
	}
	s.say("%s: a job that fits nowhere was refused: %s. Nothing of it started.", m.Name, e.Message)
	return nil
}

// job submits a job and checks that its answer is whole.
func (s *show) job(ctx context.Context, m *Manifest) error {
	k, err := s.newKey(ctx)
	if err != nil {
		return err
	}
	body := api.SubmissionBody{Key: k, Kind: m.Job, Team: m.Team}
	for range m.Tasks {
		body.Tasks = append(body.Tasks, json.RawMessage(`{"service_ms":50}`))
	}
	began := time.Now()
	answer, err := s.entry(1).Submit(ctx, body)
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	s.note(k, m.Job)
	if len(answer.Answers) != m.Tasks {
		return fmt.Errorf("job %s got %d of %d answers", k, len(answer.Answers), m.Tasks)
	}
	starts := s.c.starts(k)
	for task := range m.Tasks {
		if starts[task] != 1 {
			return fmt.Errorf("task %d of %s started %d times", task, k, starts[task])
		}
	}
	s.say("%s: a job of %d tasks was answered whole after %v; each task started once.", m.Name, m.Tasks, time.Since(began).Round(time.Millisecond))
	return nil
}

func (s *show) newKey(ctx context.Context) (string, error) {
	keys, err := s.entry(0).Keys(ctx, 1)
	if err != nil {
		return "", fmt.Errorf("mint key: %w", err)
	}
	return keys[0], nil
}
