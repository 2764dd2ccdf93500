package main

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// entryCmd runs an entry.
type entryCmd struct {
	Listen string `default:"127.0.0.1:7400" placeholder:"HOST:PORT" help:"Address for callers and operators."`
}

// Run implements the command.
func (c *entryCmd) Run() error {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return e.Start(c.Listen)
}
