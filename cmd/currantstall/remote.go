package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"currantstall/internal/client"
)

// remoteFlags are the flags of the commands that call an entry.
type remoteFlags struct {
	Entry   string        `default:"http://127.0.0.1:7400" help:"URL of any entry, http://HOST:PORT."`
	Timeout time.Duration `default:"60s" help:"Time limit of the whole command."`
}

// connect returns a client of the entry and a context that ends after the
// timeout.
func (f *remoteFlags) connect() (*client.Client, context.Context, context.CancelFunc, error) {
	c, err := client.New(f.Entry)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return c, ctx, cancel, nil
}

// readInput returns the bytes of a file, or of the standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// readJSON returns the JSON value in text, which may be "-" or @PATH for the
// standard input or a file.
func readJSON(text string) (json.RawMessage, error) {
	b := []byte(text)
	var err error
	switch {
	case text == "-":
		b, err = readInput("-")
	case len(text) > 1 && text[0] == '@':
		b, err = readInput(text[1:])
	}
	if err != nil {
		return nil, err
	}
	if b = bytes.TrimSpace(b); !json.Valid(b) {
		return nil, fmt.Errorf("input %.80q is not a single JSON value", b)
	}
	return b, nil
}

// printJSON writes v as indented JSON to the standard output.
func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s\n", b)
	return err
}

// optionalMS returns a duration in ms, or nil if d is nil.
func optionalMS(d *time.Duration) *int64 {
	if d == nil {
		return nil
	}
	ms := d.Milliseconds()
	return &ms
}
