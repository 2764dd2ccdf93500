package demo

import (
	"context"
	"errors"
	"fmt"

	"currantstall/internal/manifest"
)

// repeatableKinds returns the kinds of all manifests whose work the account does
// not hold.
func repeatableKinds(manifests []Manifest) (map[string]bool, error) {
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

// recordRun keeps the key of work that ran, if it may not be repeated.
func (s *scenario) recordRun(key, kind string) {
	if !s.repeatable[kind] {
		s.accountedKeys[key] = true
	}
}

// verifyAccount waits until the verifyAccount, read in each data centre, holds exactly the
// keys that ran and may not be repeated, each once.
func (s *scenario) verifyAccount(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for i := 0; i < len(s.clients); i += entriesPerDC {
		if err := retryUntil(ctx, func() error { return s.checkAccount(ctx, i) }); err != nil {
			return fmt.Errorf("account at %s: %w", s.cluster.entries[i].Self().Name, err)
		}
	}
	s.printf("The account holds the %d keys that ran and may not be repeated, each once, as read in each data centre.", len(s.accountedKeys))
	return nil
}

// checkAccount reads the account at one entry.
func (s *scenario) checkAccount(ctx context.Context, i int) error {
	body, err := s.client(i).Account(ctx, "", accountLimit)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(body.Lines))
	for _, l := range body.Lines {
		if seen[l.Key] {
			return fmt.Errorf("%s stands twice", l.Key)
		}
		if !s.accountedKeys[l.Key] {
			return fmt.Errorf("%s was not sent, or may be repeated", l.Key)
		}
		seen[l.Key] = true
	}
	if body.Missing > 0 {
		return errors.New("outcomes were dropped")
	}
	if len(seen) != len(s.accountedKeys) {
		return fmt.Errorf("%d of %d keys", len(seen), len(s.accountedKeys))
	}
	return nil
}
