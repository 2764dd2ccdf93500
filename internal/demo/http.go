package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"currantstall/internal/api"
	"currantstall/internal/verdict"
)

// call sends one HTTP request to an entry, by its index round the deployment,
// and decodes the answer. A refusal is returned as a *verdict.Error.
func (s *show) call(ctx context.Context, i int, method, path string, body []byte, answer any) error {
	addr := s.c.entries[i%len(s.c.entries)].Addr()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}

func refusal(status int, data []byte) error {
	var e api.ErrorBody
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("status %d: %s", status, data)
	}
	return &verdict.Error{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message}
}
