package demo

import (
	"context"
	"errors"
	"fmt"

	"currantstall/internal/manifest"
)

// repeatableKinds returns for each kind of all manifests whether its work is
// repeatable. The account holds only work of other kinds.
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

// recordRun records the key of work that ran, if the work is non-repeatable.
func (s *scenario) recordRun(key, kind string) {
	if !s.repeatable[kind] {
		s.accountedKeys[key] = true
	}
}

// verifyAccount waits until the account, read in each data centre, lists
// exactly the keys of non-repeatable work that ran, each once.
func (s *scenario) verifyAccount(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for i := 0; i < len(s.clients); i += entriesPerDC {
		if err := retryUntil(ctx, func() error { return s.checkAccount(ctx, i) }); err != nil {
			return fmt.Errorf("account at %s: %w", s.cluster.entries[i].Self().Name, err)
		}
	}
	s.printf("The account lists the %d keys of non-repeatable work that ran, each once, as read in each data centre.", len(s.accountedKeys))
	return nil
}

// checkAccount returns nil if the account, read at one entry, lists exactly the
// keys that it has to hold.
func (s *scenario) checkAccount(ctx context.Context, i int) error {
	body, err := s.client(i).Account(ctx, "", accountLimit)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(body.Lines))
	for _, l := range body.Lines {
		if seen[l.Key] {
			return fmt.Errorf("key %s is listed twice", l.Key)
		}
		if !s.accountedKeys[l.Key] {
			return fmt.Errorf("key %s is listed, but was not sent or is of repeatable work", l.Key)
		}
		seen[l.Key] = true
	}
	if body.Missing > 0 {
		return errors.New("outcomes are missing")
	}
	if len(seen) != len(s.accountedKeys) {
		return fmt.Errorf("%d of %d keys are listed", len(seen), len(s.accountedKeys))
	}
	return nil
}
