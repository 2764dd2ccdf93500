package platformd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/platform"
)

// Paths of the stand-in's own interface, beside those of the platform.
const (
	PathFaults = "/faults" // POST sets Faults, GET shows them
	PathStats  = "/stats"  // GET shows Stats
	PathRemove = "/remove" // POST ?name= takes a VM off the list
)

// maxBody bounds a request: the bytes of a transaction in base64, or an object.
const maxBody = platform.MaxObjectBytes + 1<<20

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Server offers a Store over HTTP.
type Server struct {
	Store *Store
	http  *http.Server
	addr  string
	done  chan struct{}
}

// Start listens on addr (host:port; an empty one stands for 127.0.0.1 and a
// free port) and serves until Close.
func Start(addr string) (*Server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	s := &Server{Store: NewStore(), addr: ln.Addr().String(), done: make(chan struct{})}
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln)
	}()
	return s, nil
}

// Addr returns the host:port that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL for platform.Config.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the server and waits for it.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	<-s.done
	return err
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.POST(platform.PathGet, s.get)
	e.POST(platform.PathScan, s.scan)
	e.POST(platform.PathCommit, s.commit)
	e.POST(platform.PathObjectPut, s.putObject)
	e.POST(platform.PathObjectGet, s.getObject)
	e.POST(platform.PathVMs, s.vms)
	e.POST(platform.PathAnnounce, s.announce)
	e.POST(PathFaults, s.setFaults)
	e.GET(PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Store.Faults()) })
	e.GET(PathStats, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Store.Stats()) })
	e.POST(PathRemove, s.remove)
	return e
}

func (s *Server) get(c echo.Context) error {
	var req platform.GetRequest
	if err := bind(c, &req); err != nil {
		return err
	}
	row, err := s.Store.Get(c.Request().Context(), req.Key)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Server) scan(c echo.Context) error {
	var req platform.ScanRequest
	if err := bind(c, &req); err != nil {
		return err
	}
	rows, err := s.Store.Scan(c.Request().Context(), req.Prefix, req.After, req.Limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, platform.ScanResponse{Rows: rows})
}

func (s *Server) commit(c echo.Context) error {
	var txn platform.Txn
	if err := bind(c, &txn); err != nil {
		return err
	}
	return done(c, s.Store.Commit(c.Request().Context(), txn))
}

func (s *Server) putObject(c echo.Context) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil {
		return fmt.Errorf("read object: %w", platform.ErrRejected)
	}
	return done(c, s.Store.PutObject(c.Request().Context(), c.QueryParam("name"), data))
}

func (s *Server) getObject(c echo.Context) error {
	data, err := s.Store.GetObject(c.Request().Context(), c.QueryParam("name"))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Server) vms(c echo.Context) error {
	vms, err := s.Store.VMs(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, platform.VMsResponse{VMs: vms})
}

func (s *Server) announce(c echo.Context) error {
	var vm platform.VM
	if err := bind(c, &vm); err != nil {
		return err
	}
	return done(c, s.Store.Announce(c.Request().Context(), vm))
}

// setFaults changes the switches that the body names and keeps the others.
func (s *Server) setFaults(c echo.Context) error {
	f := s.Store.Faults()
	if err := bind(c, &f); err != nil {
		return err
	}
	s.Store.SetFaults(f)
	return c.JSON(http.StatusOK, f)
}

func (s *Server) remove(c echo.Context) error {
	s.Store.RemoveVM(c.QueryParam("name"))
	return c.NoContent(http.StatusNoContent)
}

// bind decodes the JSON body into v.
func bind(c echo.Context, v any) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	if err := c.Echo().JSONSerializer.Deserialize(c, v); err != nil {
		return fmt.Errorf("%w: %v", platform.ErrRejected, err)
	}
	return nil
}

// done answers a write. A lost answer closes the connection without one.
func done(c echo.Context, err error) error {
	if !errors.Is(err, platform.ErrUnknown) {
		if err != nil {
			return err
		}
		return c.NoContent(http.StatusNoContent)
	}
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

// writeError answers with the status and code of a platform error.
func writeError(err error, c echo.Context) {
	status, code := http.StatusBadRequest, platform.CodeRejected
	switch {
	case errors.Is(err, errRateLimited):
		status, code = http.StatusTooManyRequests, platform.CodeRateLimited
	case errors.Is(err, platform.ErrUnavailable):
		status, code = http.StatusServiceUnavailable, platform.CodeUnavailable
	case errors.Is(err, platform.ErrConflict):
		status, code = http.StatusConflict, platform.CodeConflict
	case errors.Is(err, platform.ErrNotFound):
		status, code = http.StatusNotFound, platform.CodeNotFound
	}
	if !c.Response().Committed {
		_ = c.JSON(status, platform.ErrorResponse{Code: code, Message: err.Error()})
	}
}
