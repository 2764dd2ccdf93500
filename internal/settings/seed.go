package settings

import (
	"fmt"
	"strings"
)

// Seed names another entry to dial while the platform's list of VMs was never
// read. Its text is NAME=HOST:PORT@DATA-CENTRE.
type Seed struct {
	Name string
	Addr string // for peers, HOST:PORT
	DC   string
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Seed) UnmarshalText(text []byte) error {
	name, rest, named := strings.Cut(string(text), "=")
	addr, dc, placed := strings.Cut(rest, "@")
	if !named || !placed {
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
