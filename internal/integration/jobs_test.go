package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/api"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// jobBody returns the submission of a job with equal tasks.
func jobBody(k string, tasks int, d time.Duration) api.SubmissionBody {
	sb := api.SubmissionBody{Key: k, Kind: "dusk-unlocks", Team: "households"}
	for range tasks {
		sb.Tasks = append(sb.Tasks, taskBody(d))
	}
	return sb
}

func (cl *cluster) submitJob(entry string, sb api.SubmissionBody) (*response, error) {
	return cl.call(http.MethodPost, entry, "/v1/submissions", mustJSON(sb))
}

// job is a job with the last response to it, nil if there was none.
type job struct {
	body     api.SubmissionBody
	response *response
}

// check checks that the response has all answers or a verdict that explains why
// not, consistent with the starts at the targets.
func (j *job) check(starts map[string]int) error {
	k, n := j.body.Key, starts[j.body.Key]
	if j.response == nil {
		return fmt.Errorf("%s got no response", k)
	}
	switch j.response.Verdict {
	case verdict.Completed:
		if n != len(j.body.Tasks) {
			return fmt.Errorf("%s of %d tasks completed after %d starts", k, len(j.body.Tasks), n)
		}
		return checkAnswers(k, len(j.body.Tasks), j.response.Answers)
	case verdict.NotRun:
		if n != 0 {
			return fmt.Errorf("%s got %s after %d starts", k, j.response, n)
		}
	case verdict.MayHaveRun, verdict.Failed:
	default:
		return fmt.Errorf("%s got %s", k, j.response)
	}
	if len(j.response.Answers) > 0 {
		return fmt.Errorf("%s got a partial answer with %s", k, j.response)
	}
	return nil
}

// checkAnswers checks that the answers are those of the key, one per task and
// in order.
func checkAnswers(k string, tasks int, answers []json.RawMessage) error {
	if len(answers) != tasks {
		return fmt.Errorf("%s of %d tasks got %d answers", k, tasks, len(answers))
	}
	for i, a := range answers {
		var r taskserver.Result
		if err := json.Unmarshal(a, &r); err != nil {
			return fmt.Errorf("answer %d of %s: %w", i, k, err)
		}
		if r.Key.String() != k || r.Task != i {
			return fmt.Errorf("answer %d of %s is of %s/%d", i, k, r.Key, r.Task)
		}
	}
	return nil
}

// checkJobs checks the responses to all jobs and returns the number of each
// verdict.
func (cl *cluster) checkJobs(t *testing.T, jobs []job) map[verdict.Verdict]int {
	t.Helper()
	cl.assertStartedOnce(t)
	starts, counts := cl.startsByKey(), make(map[verdict.Verdict]int)
	reasons := make(map[verdict.Reason]int)
	for i := range jobs {
		assert.NilError(t, jobs[i].check(starts))
		counts[jobs[i].response.Verdict]++
		reasons[jobs[i].response.Reason]++
		if jobs[i].response.Verdict == verdict.MayHaveRun {
			t.Logf("job %d: %s", i, jobs[i].response)
		}
	}
	t.Logf("%d jobs: %v %v", len(jobs), counts, reasons)
	return counts
}

// forEachJob calls do for all jobs concurrently.
func forEachJob(jobs []job, do func(i int, j *job)) {
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() { do(i, &jobs[i]) })
	}
	wg.Wait()
}

// submitUntilFinal submits a job through one entry after the other until its
// verdict is final or maxAttempts is reached. After a submission without a
// response it submits the job once more, as that one may have run it.
func (cl *cluster) submitUntilFinal(j *job, entries ...string) {
	unanswered := false
	for try := 0; try < maxAttempts || unanswered && try < maxUnanswered; try++ {
		r, err := cl.submitJob(entries[try%len(entries)], j.body)
		unanswered = err != nil
		if err == nil {
			j.response = r
		}
		if err == nil && (r.Verdict == verdict.Completed || r.Verdict == verdict.Failed) {
			return
		}
		time.Sleep(50 * time.Millisecond << min(try, 4))
	}
}

// startWorkerCluster starts a data centre of three entries with n workers.
func startWorkerCluster(t *testing.T, n int) *cluster {
	t.Helper()
	cl := newCluster(t)
	cl.startTargets("coast", 0, n)
	for _, name := range []string{"e1", "e2", "e3"} {
		cl.startEntry(name, "coast")
	}
	cl.applyManifest(cl.entries["e1"])
	cl.awaitReady("e1", "e2", "e3")
	cl.awaitTargets(n, "e1", "e2", "e3")
	return cl
}

func TestJobsOfEverySizeInTwoDataCentres(t *testing.T) {
	t.Parallel()
	cl := newCluster(t)
	cl.startTargets("coast", 0, 2)
	cl.startTargets("island", 0, 2)
	cl.startEntry("c1", "coast")
	cl.startEntry("c2", "coast")
	cl.startEntry("i1", "island")
	cl.applyManifest(cl.entries["c1"])
	cl.awaitReady("c1", "c2", "i1")
	cl.awaitTargets(2, "c1", "c2")
	cl.awaitTargets(2, "i1")
	cl.eventually("links", func() error { return cl.checkLinks("i1", 2) })
	var jobs []job
	for _, n := range []int{1, 50, structs.MaxTasks} {
		for _, dc := range []string{"coast", "island"} {
			jobs = append(jobs, job{body: jobBody(mintKey(dc), n, 20*time.Millisecond)}, job{body: jobBody(mintKey(dc), n, 20*time.Millisecond)})
		}
	}

	forEachJob(jobs, func(i int, j *job) {
		j.response, _ = cl.submitJob([]string{"c1", "i1"}[i%2], j.body)
	})

	assert.Equal(t, cl.checkJobs(t, jobs)[verdict.Completed], len(jobs))
}

func TestWorkerThatFailsEveryTask(t *testing.T) {
	t.Parallel()
	cl := startWorkerCluster(t, 4)
	failing := cl.targets[1]
	failing.SetFaults(taskserver.Faults{FailAll: true})
	jobs := make([]job, 400)
	for i := range jobs {
		jobs[i].body = jobBody(mintKey("coast"), 1, 20*time.Millisecond)
	}

	for start := 0; start < len(jobs); start += 4 {
		forEachJob(jobs[start:start+4], func(i int, j *job) {
			j.response, _ = cl.submitJob([]string{"e1", "e2", "e3"}[i%3], j.body)
		})
	}

	counts := cl.checkJobs(t, jobs)
	n := len(failing.Starts())
	t.Logf("%d starts at the failing worker", n)
	assert.Equal(t, counts[verdict.Completed]+counts[verdict.Failed], len(jobs))
	assert.Equal(t, counts[verdict.Failed], n) // the job of each failed task is reported as failed
	assert.Assert(t, n > 0 && n < len(jobs)/10, "%d starts at the failing worker", n)
}

func TestEntryKilledWhileJobsRun(t *testing.T) {
	t.Parallel()
	cl := startWorkerCluster(t, 2)
	jobs := make([]job, 12)
	for i := range jobs {
		jobs[i].body = jobBody(mintKey("coast"), 50, 100*time.Millisecond)
	}
	var killed sync.Once

	forEachJob(jobs, func(i int, j *job) {
		first := []string{"e1", "e2", "e3"}[i%3]
		time.Sleep(time.Duration(i) * 50 * time.Millisecond)
		if i == len(jobs)-1 {
			killed.Do(cl.entry("e2").kill)
		}
		cl.submitUntilFinal(j, first, "e1", "e3")
	})

	counts := cl.checkJobs(t, jobs)
	assert.Assert(t, counts[verdict.Completed] >= 1, "%v", counts)
	for i := range jobs {
		// Jobs of the killed entry end long before their deadline.
		assert.Assert(t, jobs[i].response.Reason != verdict.Timeout, "job %d: %s", i, jobs[i].response)
	}
	after := []job{{body: jobBody(mintKey("coast"), 50, 20*time.Millisecond)}}
	cl.submitUntilFinal(&after[0], "e1", "e3")
	assert.Equal(t, cl.checkJobs(t, after)[verdict.Completed], 1)
}

func TestCancelOfManyJobs(t *testing.T) {
	t.Parallel()
	cl := startWorkerCluster(t, 3)
	entries := []string{"e1", "e2", "e3"}
	jobs := make([]job, 100)
	var noWait int64
	forEachJob(jobs, func(i int, j *job) {
		j.body = jobBody(mintKey("coast"), 20, 500*time.Millisecond)
		j.body.WaitMS = &noWait
		j.response, _ = cl.submitJob(entries[i%3], j.body)
	})
	accepted := 0
	for i := range jobs {
		assert.Assert(t, jobs[i].response != nil)
		if jobs[i].response.Status == http.StatusAccepted {
			accepted++
		}
	}

	forEachJob(jobs, func(i int, j *job) {
		if j.response.Status == http.StatusAccepted {
			j.response, _ = cl.call(http.MethodDelete, entries[(i+1)%3], "/v1/submissions/"+j.body.Key, nil)
		}
	})

	verdicts := cl.checkJobs(t, jobs)
	assert.Assert(t, accepted > 50 && verdicts[verdict.NotRun] > 0, "%d accepted, %v", accepted, verdicts)
	assert.Equal(t, verdicts[verdict.MayHaveRun], 0) // each cancellation found its job
	cl.awaitIdle()
	before := len(cl.startCounts())
	after := job{body: jobBody(mintKey("coast"), 1, 20*time.Millisecond)}
	cl.submitUntilFinal(&after, entries...)
	cl.checkJobs(t, append(jobs, after))
	assert.Equal(t, after.response.Verdict, verdict.Completed)
	assert.Equal(t, len(cl.startCounts()), before+1) // no cancelled task starts later
}

func TestResubmittedJobGetsTheSameAnswers(t *testing.T) {
	t.Parallel()
	cl := startWorkerCluster(t, 2)
	j := job{body: jobBody(mintKey("coast"), 50, 50*time.Millisecond)}
	cl.submitUntilFinal(&j, "e1") // repeated until e1 knows the free capacity of its peers
	assert.Equal(t, j.response.Verdict, verdict.Completed, "%s", j.response)

	for _, entry := range []string{"e1", "e2", "e3"} {
		again, err := cl.submitJob(entry, j.body)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Answers, j.response.Answers)
		kept, err := cl.call(http.MethodGet, entry, "/v1/submissions/"+j.body.Key, nil)
		assert.NilError(t, err)
		assert.Equal(t, kept.Verdict, verdict.Completed, "look-up at %s: %s", entry, kept)
		assert.DeepEqual(t, kept.Answers, j.response.Answers) // at every entry
	}

	other := job{body: jobBody(j.body.Key, 49, 50*time.Millisecond)}
	var err error
	other.response, err = cl.submitJob("e2", other.body)
	assert.NilError(t, err)
	assert.Equal(t, other.response.Reason, verdict.KeyConflict)
	cl.checkJobs(t, []job{j})
}

func TestJobThatNeverFitsIsRefused(t *testing.T) {
	t.Parallel()
	cl := startWorkerCluster(t, 1)
	j := job{body: jobBody(mintKey("coast"), 3, 50*time.Millisecond)}
	j.body.Needs = &structs.Resources{MilliCPU: 1_000_000}
	var err error
	j.response, err = cl.submitJob("e1", j.body)
	assert.NilError(t, err)
	assert.Equal(t, j.response.Status, http.StatusBadRequest)
	assert.Equal(t, j.response.Reason, verdict.NeverFits)
	assert.Equal(t, j.response.Verdict, verdict.NotRun)
	assert.Equal(t, j.response.Header, verdict.NotRun.String())
	cl.checkJobs(t, []job{j})
}
