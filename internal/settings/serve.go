package settings

import (
	"fmt"
	"io"
	"log/slog"

	"currantstall/internal/logs"
	"currantstall/internal/peer"
)

// Serve holds the settings of an entry that runs on the users' platform. All other
// settings come from the platform's settings file.
type Serve struct {
	NodeFile   string `required:"" placeholder:"PATH" help:"Settings file that the platform provides."`
	PeerSecret string `required:"" placeholder:"TEXT" help:"Secret shared by all entries, 16 bytes or more."`
	LogLevel   string `default:"info" enum:"debug,info,warn,error" help:"Lowest level to log: debug, info, warn or error."`
}

// Validate reports an invalid value.
func (s *Serve) Validate() error {
	if len(s.PeerSecret) < peer.MinSecretBytes {
		return fmt.Errorf("--peer-secret: has %d bytes, want %d or more", len(s.PeerSecret), peer.MinSecretBytes)
	}
	return nil
}

// Logger returns a logger that writes JSON lines to w and never blocks, and a
// function that flushes it.
func (s *Serve) Logger(w io.Writer) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	out := logs.NewWriter(w)
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})), out.Close
}
