// Package settings declares the settings of the processes as kong structs:
// flags with environment variables, units and defaults in the help text, and
// checks that report each invalid value in one line. It starts nothing.
package settings

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/intake"
	"currantstall/internal/key"
	"currantstall/internal/peer"
)

// Limits and units of the settings.
const (
	minLease    = time.Second
	maxLease    = time.Minute
	bytesPerMiB = 1 << 20 // bytes
)

// Entry holds the settings of an entry. It is parsed by kong, which calls
// Validate.
type Entry struct {
	VM            string `name:"vm" required:"" placeholder:"NAME" help:"Name of this VM, unique among all entries: 1 to 32 of a-z, 0-9, '-', '_' and '.'."`
	DC            string `name:"data-centre" required:"" placeholder:"NAME" help:"Data centre of this VM."`
	Listen        string `default:"127.0.0.1:7400" help:"Address to listen on for callers and operators; port 0 selects a free port."`
	PeerListen    string `default:"127.0.0.1:7401" help:"Address to listen on for other entries; port 0 selects a free port."`
	PeerAdvertise string `placeholder:"HOST:PORT" help:"Address that other entries dial. Default: the address of --peer-listen."`
	Platform      string `required:"" placeholder:"URL" help:"Base URL of the platform's service, http://HOST:PORT."`

	Seed []Seed `placeholder:"NAME=HOST:PORT@DATA-CENTRE" help:"Another entry: its name, its address for peers and its data centre. Repeat the flag, or separate entries by commas. The seeds are dialled until the platform's VM list is read for the first time."`

	PeerSecret     string `placeholder:"TEXT" help:"Secret shared by all entries, 16 bytes or more. Prefer the variable or the file to the flag, which shows in process lists."`
	PeerSecretFile string `placeholder:"PATH" help:"File that holds the secret; leading and trailing white space is ignored."`

	WritesPerSecond float64       `default:"21" help:"Budget of this entry for writes to the platform, in writes per second: the deployment's budget (150 by default) divided by its entries."`
	Lease           time.Duration `default:"1500ms" help:"How long a member may start work without renewing its lease, 1s to 1m. After an entry fails, requests for its share of the keys are refused for about that long."`
	DrainTimeout    time.Duration `default:"30s" help:"How long a planned stop waits for work in flight."`

	BodyMiB        int64  `name:"body-mib" default:"256" help:"Memory for the heads and bodies of requests in flight, in MiB."`
	MemoryMiB      int64  `name:"memory-mib" default:"0" help:"Memory of the machine for this process, in MiB; 0 if it is not known. Heads take at most a sixteenth of it, heads and bodies a quarter, whatever --body-mib says."`
	MaxDescriptors int    `default:"0" help:"Files and sockets that the process may have open; 0 for no limit on connections. 200 are kept for files, and an eighth of the others for its own connections."`
	AnswerMiB      int64  `name:"answer-mib" default:"64" help:"Memory for the answers of one job, in MiB."`
	KeptAnswersMiB int64  `name:"kept-answers-mib" default:"128" help:"Memory for answers kept for resubmissions, in MiB."`
	PeerQueueMiB   int64  `name:"peer-queue-mib" default:"32" help:"Memory for messages queued for one peer, in MiB."`
	Policy         string `default:"shares" enum:"shares,fifo,take_turns" help:"Order of the queue: shares (guaranteed shares, urgency, quotas); fifo and take_turns are baselines for measurements."`

	Logging
}

// Logging holds the settings of the log, which is written to standard error.
type Logging struct {
	LogLevel  string `default:"info" enum:"debug,info,warn,error" help:"Lowest level to log: debug, info, warn or error."`
	LogFormat string `default:"text" enum:"text,json" help:"Format of the log: text or json."`
}

// Validate reports every invalid value, one line each.
func (e *Entry) Validate() error {
	return errors.Join(
		checkName("vm", e.VM),
		checkName("data-centre", e.DC),
		checkAddr("listen", e.Listen, true),
		checkAddr("peer-listen", e.PeerListen, true),
		e.checkAdvertise(),
		checkURL("platform", e.Platform),
		e.checkSecret(),
		checkPositive("writes-per-second", e.WritesPerSecond),
		checkRange("lease", e.Lease, minLease, maxLease),
		checkPositive("drain-timeout", e.DrainTimeout),
		checkPositive("body-mib", e.BodyMiB),
		checkNotNegative("memory-mib", e.MemoryMiB),
		checkNotNegative("max-descriptors", int64(e.MaxDescriptors)),
		checkPositive("answer-mib", e.AnswerMiB),
		checkPositive("kept-answers-mib", e.KeptAnswersMiB),
		checkPositive("peer-queue-mib", e.PeerQueueMiB),
	)
}

// Secret returns the shared secret, from the flag, the variable or the file.
func (e *Entry) Secret() ([]byte, error) {
	if (e.PeerSecret == "") == (e.PeerSecretFile == "") {
		return nil, errors.New("--peer-secret, --peer-secret-file: exactly one of them must be set")
	}
	secret := []byte(e.PeerSecret)
	if e.PeerSecretFile != "" {
		b, err := os.ReadFile(e.PeerSecretFile)
		if err != nil {
			return nil, fmt.Errorf("--peer-secret-file: %w", err)
		}
		secret = []byte(strings.TrimSpace(string(b)))
	}
	if len(secret) < peer.MinSecretBytes {
		return nil, fmt.Errorf("--peer-secret: has %d bytes, want %d or more", len(secret), peer.MinSecretBytes)
	}
	return secret, nil
}

// AdmissionPolicy returns the order of the queue.
func (e *Entry) AdmissionPolicy() admission.Policy {
	switch e.Policy {
	case "fifo":
		return admission.FIFO
	case "take_turns":
		return admission.TakeTurns
	}
	return admission.Shares
}

// BodyBytes returns BodyMiB in bytes.
func (e *Entry) BodyBytes() int64 { return e.BodyMiB * bytesPerMiB }

// Machine returns what the process may use.
func (e *Entry) Machine() intake.Machine {
	return intake.Machine{Memory: e.MemoryMiB * bytesPerMiB, Descriptors: e.MaxDescriptors}
}

// AnswerBytes returns AnswerMiB in bytes.
func (e *Entry) AnswerBytes() int64 { return e.AnswerMiB * bytesPerMiB }

// KeptAnswerBytes returns KeptAnswersMiB in bytes.
func (e *Entry) KeptAnswerBytes() int64 { return e.KeptAnswersMiB * bytesPerMiB }

// PeerQueueBytes returns PeerQueueMiB in bytes.
func (e *Entry) PeerQueueBytes() int { return int(e.PeerQueueMiB * bytesPerMiB) }

// Logger returns a logger that writes to w with the level and format of the
// settings.
func (l *Logging) Logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level}
	if l.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// checkAdvertise checks that there is an address that peers can dial: the
// advertised one, or a listening address with a host.
func (e *Entry) checkAdvertise() error {
	if e.PeerAdvertise != "" {
		return checkAddr("peer-advertise", e.PeerAdvertise, false)
	}
	host, _, err := net.SplitHostPort(e.PeerListen)
	if err != nil {
		return nil // reported for peer-listen
	}
	if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
		return fmt.Errorf("--peer-advertise: is required, since --peer-listen %q has no host that peers can dial", e.PeerListen)
	}
	return nil
}

func (e *Entry) checkSecret() error {
	_, err := e.Secret()
	return err
}

func checkName(flag, v string) error {
	if !key.ValidName(v) {
		return fmt.Errorf("--%s: %.40q is not a valid name, want 1 to 32 of a-z, 0-9, '-', '_' and '.'", flag, v)
	}
	return nil
}

// checkAddr checks that v is host:port with a valid port and an IP address or
// localhost as the host. An address to listen on may omit the host and may have
// port 0.
func checkAddr(flag, v string, listen bool) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("--%s: %.80q is not HOST:PORT", flag, v)
	}
	n, err := net.LookupPort("tcp", port)
	if err != nil || port == "" || (n == 0 && !listen) {
		return fmt.Errorf("--%s: %.80q has no valid port", flag, v)
	}
	if host == "" && listen {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil && host != "localhost" {
		return fmt.Errorf("--%s: %.80q has a host that is not an IP address", flag, v)
	}
	if !listen && ip != nil && ip.IsUnspecified() {
		return fmt.Errorf("--%s: %.80q is not an address that can be dialled", flag, v)
	}
	return nil
}

func checkURL(flag, v string) error {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("--%s: %.80q is not http://HOST:PORT", flag, v)
	}
	return nil
}

func checkNotNegative(flag string, v int64) error {
	if v < 0 {
		return fmt.Errorf("--%s: %d is below 0", flag, v)
	}
	return nil
}

func checkPositive[T int64 | float64 | time.Duration](flag string, v T) error {
	if v <= 0 {
		return fmt.Errorf("--%s: is %v, want more than 0", flag, v)
	}
	return nil
}

func checkRange(flag string, v, low, high time.Duration) error {
	if v < low || v > high {
		return fmt.Errorf("--%s: is %v, want %v to %v", flag, v, low, high)
	}
	return nil
}
