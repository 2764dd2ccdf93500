package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/verdict"
)

// account reads the whole account at an entry.
func (f *fleet) account(entry string) ([]api.AccountLine, error) {
	var all []api.AccountLine
	for after := ""; ; {
		resp, err := callers.Get(f.entry(entry).url("/v1/account?limit=50&after=" + url.QueryEscape(after)))
		if err != nil {
			return nil, err
		}
		var page api.AccountPage
		err = json.NewDecoder(resp.Body).Decode(&page)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if len(page.Lines) == 0 {
			return all, nil
		}
		all = append(all, page.Lines...)
		after = page.Next
	}
}

// claim claims keys for the old system.
func (f *fleet) claim(t *testing.T, entry string, keys ...string) []api.ClaimResult {
	t.Helper()
	resp, err := callers.Post(f.entry(entry).url("/v1/account/claims"), "application/json", bytes.NewReader(encode(api.ClaimsRequest{Keys: keys})))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var a api.ClaimsResponse
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	assert.Equal(t, len(a.Results), len(keys))
	return a.Results
}

// TestAccountListsEachKeyOnce runs a mixed load: jobs, requests with and
// without a key, and ones that fail.
func TestAccountListsEachKeyOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTargets("coast", 3, 3)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.startEntry(name, "coast")
	}
	f.apply(f.entries["e1"])
	f.awaitReady("e1", "e2", "e3")
	f.awaitTargets(6, "e1", "e2", "e3")
	jobs := make([]job, 10)
	for i := range jobs {
		jobs[i].body = jobBody(mint("coast"), 5, 20*time.Millisecond)
		if i%5 == 0 {
			jobs[i].body.Tasks[2] = json.RawMessage(`{"service_ms":20,"fail":true}`)
		}
	}
	keyed := newCaller(f, []string{"coast"}, "e1", "e2", "e3")

	asks := f.ask(60, pause, []string{"unlock", "reconcile"}, nothing)
	keyed.run(60, pause, nothing)
	eachJob(jobs, func(i int, j *job) { f.resubmit(j, f.order[i%3]) })

	keyed.check(t)
	f.checkAsks(t, asks)
	f.checkJobs(t, jobs)
	ran := f.startsByKey()
	f.eventually("the account is complete", func() error {
		lines, err := f.account("e2")
		if err != nil {
			return err
		}
		if len(lines) < len(ran) {
			return fmt.Errorf("%d lines for %d keys", len(lines), len(ran))
		}
		return nil
	})
	lines, err := f.account("e3")
	assert.NilError(t, err)
	listed := make(map[string]int)
	for _, l := range lines {
		listed[l.Key]++
		assert.Assert(t, l.Verdict != verdict.NotRun, "%+v", l)
		assert.Equal(t, listed[l.Key], 1, "%+v", l)
	}
	for k := range ran {
		assert.Equal(t, listed[k], 1, "key %s ran", k)
	}
	assert.Equal(t, len(listed), len(ran))
}

// TestOldSystemAndNewNeverRunTheSameKey has both claim keys.
func TestOldSystemAndNewNeverRunTheSameKey(t *testing.T) {
	t.Parallel()
	f := runners(t, 3)
	theirs, ours := make([]string, 20), make([]string, 20)
	for i := range theirs {
		theirs[i], ours[i] = mint("coast"), mint("coast")
	}

	for i, r := range f.claim(t, "e1", theirs...) {
		assert.Assert(t, r.Granted, "%s: %+v", theirs[i], r.Error)
	}
	for i, k := range theirs {
		r, err := f.request(f.order[i%3], k, "unlock", "households", 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, r.Reason, verdict.RanElsewhere, "%s", r)
		assert.Equal(t, r.Status, http.StatusConflict)
	}
	assert.Equal(t, len(f.starts()), 0)

	for i, k := range ours {
		r, err := f.request(f.order[i%3], k, "unlock", "households", 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, r.Verdict, verdict.Completed, "%s", r)
	}
	for i, r := range f.claim(t, "e2", ours...) {
		assert.Assert(t, !r.Granted, ours[i])
		assert.Equal(t, r.Error.Verdict, verdict.Completed)
	}
	f.onceEach(t)
}
