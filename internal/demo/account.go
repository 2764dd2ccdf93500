package demo

import (
	"context"
	"errors"
	"fmt"

	"currantstall/internal/manifest"
)

// repeatable returns the kinds of all manifests whose work the account does
// not hold.
func repeatable(manifests []Manifest) (map[string]bool, error) {
	kinds := make(map[string]bool)
	for i := range manifests {
		m, err := manifest.Decode(manifests[i].Text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", manifests[i].Name, err)
		}
		for _, k := range m.Kinds {
			kinds[k.Name] = k.Repeatable
		}
	}
	return kinds, nil
}

// note keeps the key of work that ran, if it may not be repeated.
func (s *show) note(key, kind string) {
	if !s.repeatable[kind] {
		s.ran[key] = true
	}
}

// account waits until the account, read in each data centre, holds exactly the
// keys that ran and may not be repeated, each once.
func (s *show) account(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for i := 0; i < len(s.clients); i += entriesPerDC {
		if err := until(ctx, func() error { return s.checkAccount(ctx, i) }); err != nil {
			return fmt.Errorf("account at %s: %w", s.c.entries[i].Self().Name, err)
		}
	}
	s.say("The account holds the %d keys that ran and may not be repeated, each once, as read in each data centre.", len(s.ran))
	return nil
}

// checkAccount reads the account at one entry.
func (s *show) checkAccount(ctx context.Context, i int) error {
	body, err := s.entry(i).Account(ctx, "", accountLimit)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(body.Lines))
	for _, l := range body.Lines {
		if seen[l.Key] {
			return fmt.Errorf("%s stands twice", l.Key)
		}
		if !s.ran[l.Key] {
			return fmt.Errorf("%s was not sent, or may be repeated", l.Key)
		}
		seen[l.Key] = true
	}
	if body.Missing > 0 {
		return errors.New("outcomes were dropped")
	}
	if len(seen) != len(s.ran) {
		return fmt.Errorf("%d of %d keys", len(seen), len(s.ran))
	}
	return nil
}
