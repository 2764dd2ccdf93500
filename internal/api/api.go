// Package api serves callers and operators over HTTP with JSON bodies.
package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"

	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
)

// Limits of the HTTP service.
const (
	envelopeBytes       = 4 << 10  // JSON around the task bodies of a request
	maxSubmissionBytes  = 64 << 20 // a whole submission
	maxManifestBytes    = 32 << 20
	maxClaimsBytes      = 1 << 20
	maxKeysPerCall      = 10_000
	defaultMaxBodyBytes = 1 << 20 // a task's body, where the manifest sets none
	maxLookupWait       = 60 * time.Second
	// acceptTimeout bounds the wait for a job's claim after the caller's own
	// wait is over.
	acceptTimeout = time.Second
)

// Engine is what the service asks of the dispatcher.
type Engine interface {
	// Mint returns a new key at home in this entry's data centre.
	Mint() (key.Key, error)
	// Do runs the work and returns its outcome. It returns early with the
	// verdict MayHaveRun if ctx ends; claimed work goes on.
	Do(ctx context.Context, w *structs.Work) structs.Outcome
	// Submit is Do, and calls accepted once the work is claimed and queued,
	// or on its way to the data centre of its key. It does not call it for
	// work that is refused, nor for a copy of earlier work.
	Submit(ctx context.Context, w *structs.Work, accepted func()) structs.Outcome
	// Lookup returns the outcome of a key, waiting up to wait for work that
	// runs. It returns nil if the work still runs then.
	Lookup(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error)
	// Cancel stops the work of a key as far as it has not started, and
	// returns its outcome.
	Cancel(ctx context.Context, k key.Key) (structs.Outcome, error)
	// Refuse turns a refusal of a key into what may be said of the request.
	Refuse(ctx context.Context, k key.Key, err error) error
}

// Manifests is the entry's access to the operators' configuration.
type Manifests interface {
	// Current returns the manifest in force, or nil before there is one.
	Current() *manifest.Manifest
	// Apply replaces version base by m and returns the accepted manifest.
	Apply(ctx context.Context, base uint64, m *manifest.Manifest) (*manifest.Manifest, error)
}

// Config holds what the service is built from.
type Config struct {
	Engine    Engine
	Manifests Manifests
	Account   Account
	Status    func() Status
	// Ready returns nil while the balancer may send work here.
	Ready   func() error
	Metrics *metrics.Metrics
	Log     *slog.Logger
	// BodyBytes bounds the memory of all request bodies in flight, in bytes.
	BodyBytes int64
}

type server struct {
	Config
	bodyMemory *semaphore.Weighted
}

// New returns the service's handler.
func New(c Config) *echo.Echo {
	s := &server{Config: c, bodyMemory: semaphore.NewWeighted(c.BodyBytes)}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	s.routes(e)
	return e
}

func (s *server) routes(e *echo.Echo) {
	e.POST("/v1/requests", s.postRequest)
	e.POST("/v1/submissions", s.postSubmission)
	e.GET("/v1/submissions/:dc/:id", s.getSubmission)
	e.DELETE("/v1/submissions/:dc/:id", s.deleteSubmission)
	e.POST("/v1/keys", s.postKeys)
	e.GET("/v1/manifest", s.getManifest)
	e.PUT("/v1/manifest", s.putManifest)
	e.GET("/v1/account", s.getAccount)
	e.POST("/v1/account/claims", s.postAccountClaims)
	e.GET("/v1/status", s.getStatus)
	e.GET("/healthz", s.getHealth)
	e.GET("/readyz", s.getReady)
	e.GET("/metrics", echo.WrapHandler(s.Metrics.Handler()))
}

// getHealth says that the process runs.
func (s *server) getHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// getReady says whether the balancer may send work here.
func (s *server) getReady(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
