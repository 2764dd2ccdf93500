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

// readAccount reads the whole account at an entry.
func (cl *cluster) readAccount(entry string) ([]api.AccountLine, error) {
	var all []api.AccountLine
	for after := ""; ; {
		resp, err := httpClient.Get(cl.entry(entry).url("/v1/account?limit=50&after=" + url.QueryEscape(after)))
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

// claimKeys claims keys for the old system.
func (cl *cluster) claimKeys(t *testing.T, entry string, keys ...string) []api.ClaimResult {
	t.Helper()
	resp, err := httpClient.Post(cl.entry(entry).url("/v1/account/claims"), "application/json", bytes.NewReader(mustJSON(api.ClaimsRequest{Keys: keys})))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var a api.ClaimsResponse
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	assert.Equal(t, len(a.Results), len(keys))
	return a.Results
}

// TestAccountListsEachKeyOnce runs a mixed load: jobs, requests with and
// without a key, and failing ones. The account lists each key that started,
// once.
func TestAccountListsEachKeyOnce(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	cl.startTargets("coast", 3, 3)
	for _, name := range []string{"e1", "e2", "e3"} {
		cl.startEntry(name, "coast")
	}
	cl.applyManifest(cl.entries["e1"])
	cl.awaitReady("e1", "e2", "e3")
	cl.awaitTargets(6, "e1", "e2", "e3")
	jobs := make([]job, 10)
	for i := range jobs {
		jobs[i].body = jobBody(mintKey("coast"), 5, 20*time.Millisecond)
		if i%5 == 0 {
			jobs[i].body.Tasks[2] = json.RawMessage(`{"service_ms":20,"fail":true}`)
		}
	}
	callerWithKeys := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")

	submissions := cl.sendRequests(60, sendInterval, []string{"unlock", "reconcile"}, noop)
	callerWithKeys.run(60, sendInterval, noop)
	forEachJob(jobs, func(i int, j *job) { cl.submitUntilFinal(j, cl.entryNames[i%3]) })

	callerWithKeys.check(t)
	cl.checkSubmissions(t, submissions)
	cl.checkJobs(t, jobs)
	startedKeys := cl.startsByKey()
	cl.eventually("the account is complete", func() error {
		lines, err := cl.readAccount("e2")
		if err != nil {
			return err
		}
		if len(lines) < len(startedKeys) {
			return fmt.Errorf("%d lines for %d keys", len(lines), len(startedKeys))
		}
		return nil
	})
	lines, err := cl.readAccount("e3")
	assert.NilError(t, err)
	listed := make(map[string]int)
	for _, l := range lines {
		listed[l.Key]++
		assert.Assert(t, l.Verdict != verdict.NotRun, "%+v", l)
		assert.Equal(t, listed[l.Key], 1, "%+v", l)
	}
	for k := range startedKeys {
		assert.Equal(t, listed[k], 1, "key %s ran", k)
	}
	assert.Equal(t, len(listed), len(startedKeys))
}

// TestClaimedKeyRunsInOneSystemOnly has the old system claim some keys before
// their requests and others after. The entries refuse a key that was granted,
// and do not grant a key that ran.
func TestClaimedKeyRunsInOneSystemOnly(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 3)
	oldSystemKeys, entryKeys := make([]string, 20), make([]string, 20)
	for i := range oldSystemKeys {
		oldSystemKeys[i], entryKeys[i] = mintKey("coast"), mintKey("coast")
	}

	for i, r := range cl.claimKeys(t, "e1", oldSystemKeys...) {
		assert.Assert(t, r.Granted, "%s: %+v", oldSystemKeys[i], r.Error)
	}
	for i, k := range oldSystemKeys {
		r, err := cl.request(cl.entryNames[i%3], k, "unlock", "households", 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, r.Reason, verdict.RanElsewhere, "%s", r)
		assert.Equal(t, r.Status, http.StatusConflict)
	}
	assert.Equal(t, len(cl.startCounts()), 0)

	for i, k := range entryKeys {
		r, err := cl.request(cl.entryNames[i%3], k, "unlock", "households", 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, r.Verdict, verdict.Completed, "%s", r)
	}
	for i, r := range cl.claimKeys(t, "e2", entryKeys...) {
		assert.Assert(t, !r.Granted, entryKeys[i])
		assert.Equal(t, r.Error.Verdict, verdict.Completed)
	}
	cl.assertStartedOnce(t)
}
