// Package api serves callers and operators over HTTP with JSON bodies.
package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/intake"
	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
)

// Limits of the API.
const (
	envelopeBytes       = 4 << 10  // JSON around the task bodies of a request
	maxSubmissionBytes  = 64 << 20 // a whole submission
	maxManifestBytes    = 32 << 20
	maxClaimsBytes      = 1 << 20
	maxKeysPerCall      = 10_000
	maxClaimKeys        = 25_000  // maxClaimsBytes hold fewer valid keys
	defaultMaxBodyBytes = 1 << 20 // body of one task, if the manifest sets no limit
	maxLookupWait       = 60 * time.Second
	// acceptTimeout limits the wait for the claim of a job after the caller's
	// own wait is over.
	acceptTimeout = time.Second
)

// Engine is the part of the dispatcher that the API calls.
type Engine interface {
	// Mint returns a new key whose home is this entry's data centre.
	Mint() (key.Key, error)
	// Do runs the work and returns its outcome. If ctx ends first, it returns
	// early with the verdict MayHaveRun; claimed work continues.
	Do(ctx context.Context, w *structs.Work) structs.Outcome
	// Submit is like Do, and calls accepted when the work is claimed and
	// queued, or on its way to the data centre of its key. It does not call
	// accepted for refused work or for a duplicate.
	Submit(ctx context.Context, w *structs.Work, accepted func()) structs.Outcome
	// Lookup returns the outcome of a key. It waits for running work for up to
	// wait, and returns nil if the work is still running then.
	Lookup(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error)
	// Cancel cancels the tasks of a key that have not started, and returns the
	// outcome of the work.
	Cancel(ctx context.Context, k key.Key) (structs.Outcome, error)
	// Refuse returns the error to report for a request whose copy with key k
	// was refused with err. It keeps the verdict NotRun only if the home of the
	// key has no record of the key.
	Refuse(ctx context.Context, k key.Key, err error) error
}

// Manifests gives access to the manifest, the configuration that operators set.
type Manifests interface {
	// Current returns the manifest in force, or nil if there is none yet.
	Current() *manifest.Manifest
	// Apply replaces version base by m and returns the accepted manifest.
	Apply(ctx context.Context, base uint64, m *manifest.Manifest) (*manifest.Manifest, error)
}

// Config holds the dependencies and limits of the API.
type Config struct {
	Engine    Engine
	Manifests Manifests
	Account   Account
	Status    func() Status
	// Ready returns nil if the load balancer may send work to this entry, else
	// the reason why not.
	Ready   func() error
	Metrics *metrics.Metrics
	Log     *slog.Logger
	// Intake limits the memory for all request bodies in flight.
	Intake *intake.Gate
}

// server implements the routes of the API.
type server struct {
	Config
	manifests chan struct{} // has a token while a manifest is decoded
}

// New returns the HTTP handler of the API.
func New(c Config) *echo.Echo {
	s := &server{Config: c, manifests: make(chan struct{}, 1)}
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
	few := echo.WrapMiddleware(intake.FewLong) // their responses are large against their requests
	e.GET("/v1/manifest", s.getManifest, few)
	e.PUT("/v1/manifest", s.putManifest)
	e.GET("/v1/account", s.getAccount, few)
	e.POST("/v1/account/claims", s.postAccountClaims)
	e.GET("/v1/status", s.getStatus)
	e.GET("/healthz", s.getHealth)
	e.GET("/readyz", s.getReady)
	e.GET("/metrics", echo.WrapHandler(intake.Few(s.Metrics.Handler())))
}

// getHealth responds that the process is running.
func (s *server) getHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// getReady responds whether the load balancer may send work to this entry.
func (s *server) getReady(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
