package settings

import (
	"fmt"
	"strings"
)

// Seed is another entry to link until the platform's VM list is read for the
// first time. Its text form is NAME=HOST:PORT@DATA-CENTRE.
type Seed struct {
	Name string
	Addr string // for peers, HOST:PORT
	DC   string
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Seed) UnmarshalText(text []byte) error {
	name, rest, hasName := strings.Cut(string(text), "=")
	addr, dc, hasDC := strings.Cut(rest, "@")
	if !hasName || !hasDC {
		return fmt.Errorf("%.80q is not NAME=HOST:PORT@DATA-CENTRE", text)
	}
	for _, err := range []error{checkName("seed", name), checkAddr("seed", addr, false), checkName("seed", dc)} {
		if err != nil {
			return err
		}
	}
	*s = Seed{Name: name, Addr: addr, DC: dc}
	return nil
}
