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

// jobBody returns a submission of equal tasks.
func jobBody(k string, tasks int, d time.Duration) api.SubmissionBody {
	sb := api.SubmissionBody{Key: k, Kind: "dusk-unlocks", Team: "households"}
	for range tasks {
		sb.Tasks = append(sb.Tasks, service(d))
	}
	return sb
}

func (f *fleet) submitJob(entry string, sb api.SubmissionBody) (*reply, error) {
	return f.call(http.MethodPost, entry, "/v1/submissions", encode(sb))
}

// job is a job with the last reply to it, nil if there was none.
type job struct {
	body  api.SubmissionBody
	reply *reply
}

// check verifies that the job's answer is whole or says why there is none,
// against the starts at the targets.
func (j *job) check(starts map[string]int) error {
	k, n := j.body.Key, starts[j.body.Key]
	if j.reply == nil {
		return fmt.Errorf("%s was told nothing", k)
	}
	switch j.reply.Verdict {
	case verdict.Completed:
		if n != len(j.body.Tasks) {
			return fmt.Errorf("%s of %d tasks was answered after %d starts", k, len(j.body.Tasks), n)
		}
		return whole(k, len(j.body.Tasks), j.reply.Answers)
	case verdict.NotRun:
		if n != 0 {
			return fmt.Errorf("%s was told %s after %d starts", k, j.reply, n)
		}
	case verdict.MayHaveRun, verdict.Failed:
	default:
		return fmt.Errorf("%s was told %s", k, j.reply)
	}
	if len(j.reply.Answers) > 0 {
		return fmt.Errorf("%s got a partial answer with %s", k, j.reply)
	}
	return nil
}

// whole demands the job's own answers, one a task in order.
func whole(k string, tasks int, answers []json.RawMessage) error {
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

// checkJobs verifies all jobs and counts the verdicts.
func (f *fleet) checkJobs(t *testing.T, jobs []job) map[verdict.Verdict]int {
	t.Helper()
	f.onceEach(t)
	starts, counts := f.startsByKey(), make(map[verdict.Verdict]int)
	reasons := make(map[verdict.Reason]int)
	for i := range jobs {
		assert.NilError(t, jobs[i].check(starts))
		counts[jobs[i].reply.Verdict]++
		reasons[jobs[i].reply.Reason]++
		if jobs[i].reply.Verdict == verdict.MayHaveRun {
			t.Logf("job %d: %s", i, jobs[i].reply)
		}
	}
	t.Logf("%d jobs: %v %v", len(jobs), counts, reasons)
	return counts
}

// eachJob calls do for all jobs at the same time.
func eachJob(jobs []job, do func(i int, j *job)) {
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() { do(i, &jobs[i]) })
	}
	wg.Wait()
}

// resubmit submits a job through one entry after the other until it gets an
// answer that stands.
func (f *fleet) resubmit(j *job, entries ...string) {
	for try := range attempts {
		r, err := f.submitJob(entries[try%len(entries)], j.body)
		if err == nil {
			j.reply = r
		}
		if err == nil && (r.Verdict == verdict.Completed || r.Verdict == verdict.Failed) {
			return
		}
		time.Sleep(50 * time.Millisecond << min(try, 4))
	}
}

// workers starts a data centre of three entries with workers.
func workers(t *testing.T, n int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.startTargets("coast", 0, n)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.startEntry(name, "coast")
	}
	f.apply(f.entries["e1"])
	f.awaitReady("e1", "e2", "e3")
	f.awaitTargets(n, "e1", "e2", "e3")
	return f
}

func TestJobsOfEverySizeInTwoDataCentres(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTargets("coast", 0, 2)
	f.startTargets("island", 0, 2)
	f.startEntry("c1", "coast")
	f.startEntry("c2", "coast")
	f.startEntry("i1", "island")
	f.apply(f.entries["c1"])
	f.awaitReady("c1", "c2", "i1")
	f.awaitTargets(2, "c1", "c2")
	f.awaitTargets(2, "i1")
	f.eventually("links", func() error { return f.linked("i1", 2) })
	var jobs []job
	for _, n := range []int{1, 50, structs.MaxTasks} {
		for _, dc := range []string{"coast", "island"} {
			jobs = append(jobs, job{body: jobBody(mint(dc), n, 20*time.Millisecond)}, job{body: jobBody(mint(dc), n, 20*time.Millisecond)})
		}
	}

	eachJob(jobs, func(i int, j *job) {
		j.reply, _ = f.submitJob([]string{"c1", "i1"}[i%2], j.body)
	})

	assert.Equal(t, f.checkJobs(t, jobs)[verdict.Completed], len(jobs))
}

func TestWorkerThatFailsEveryTask(t *testing.T) {
	t.Parallel()
	f := workers(t, 4)
	bad := f.targets[1]
	bad.SetFaults(taskserver.Faults{FailAll: true})
	jobs := make([]job, 400)
	for i := range jobs {
		jobs[i].body = jobBody(mint("coast"), 1, 20*time.Millisecond)
	}

	for start := 0; start < len(jobs); start += 4 {
		eachJob(jobs[start:start+4], func(i int, j *job) {
			j.reply, _ = f.submitJob([]string{"e1", "e2", "e3"}[i%3], j.body)
		})
	}

	counts := f.checkJobs(t, jobs)
	n := len(bad.Starts())
	t.Logf("%d starts at the failing worker", n)
	assert.Equal(t, counts[verdict.Completed]+counts[verdict.Failed], len(jobs))
	assert.Equal(t, counts[verdict.Failed], n) // a job fails truthfully
	assert.Assert(t, n > 0 && n < len(jobs)/10, "%d starts at the failing worker", n)
}

func TestEntryKilledWhileJobsRun(t *testing.T) {
	t.Parallel()
	f := workers(t, 2)
	jobs := make([]job, 12)
	for i := range jobs {
		jobs[i].body = jobBody(mint("coast"), 50, 100*time.Millisecond)
	}
	var killed sync.Once

	eachJob(jobs, func(i int, j *job) {
		first := []string{"e1", "e2", "e3"}[i%3]
		time.Sleep(time.Duration(i) * 50 * time.Millisecond)
		if i == len(jobs)-1 {
			killed.Do(f.entry("e2").kill)
		}
		f.resubmit(j, first, "e1", "e3")
	})

	counts := f.checkJobs(t, jobs)
	assert.Assert(t, counts[verdict.Completed] >= 1, "%v", counts)
	for i := range jobs {
		// What the killed entry was given is settled long before the deadline.
		assert.Assert(t, jobs[i].reply.Reason != verdict.Timeout, "job %d: %s", i, jobs[i].reply)
	}
	after := []job{{body: jobBody(mint("coast"), 50, 20*time.Millisecond)}}
	f.resubmit(&after[0], "e1", "e3")
	assert.Equal(t, f.checkJobs(t, after)[verdict.Completed], 1)
}

func TestWaveOfCancels(t *testing.T) {
	t.Parallel()
	f := workers(t, 3)
	entries := []string{"e1", "e2", "e3"}
	jobs := make([]job, 100)
	var none int64
	eachJob(jobs, func(i int, j *job) {
		j.body = jobBody(mint("coast"), 20, 500*time.Millisecond)
		j.body.WaitMS = &none
		j.reply, _ = f.submitJob(entries[i%3], j.body)
	})
	accepted := 0
	for i := range jobs {
		assert.Assert(t, jobs[i].reply != nil)
		if jobs[i].reply.Status == http.StatusAccepted {
			accepted++
		}
	}

	eachJob(jobs, func(i int, j *job) {
		if j.reply.Status == http.StatusAccepted {
			j.reply, _ = f.call(http.MethodDelete, entries[(i+1)%3], "/v1/submissions/"+j.body.Key, nil)
		}
	})

	told := f.checkJobs(t, jobs)
	assert.Assert(t, accepted > 50 && told[verdict.NotRun] > 0, "%d accepted, %v", accepted, told)
	assert.Equal(t, told[verdict.MayHaveRun], 0) // each cancel found its job
	f.idle()
	before := len(f.starts())
	after := job{body: jobBody(mint("coast"), 1, 20*time.Millisecond)}
	f.resubmit(&after, entries...)
	f.checkJobs(t, append(jobs, after))
	assert.Equal(t, after.reply.Verdict, verdict.Completed)
	assert.Equal(t, len(f.starts()), before+1) // nothing cancelled starts later
}

func TestResubmittedJobGetsTheSameAnswers(t *testing.T) {
	t.Parallel()
	f := workers(t, 2)
	j := job{body: jobBody(mint("coast"), 50, 50*time.Millisecond)}
	f.resubmit(&j, "e1") // until e1 has heard of its peers' room
	assert.Equal(t, j.reply.Verdict, verdict.Completed, "%s", j.reply)

	for _, entry := range []string{"e1", "e2", "e3"} {
		again, err := f.submitJob(entry, j.body)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Answers, j.reply.Answers)
		kept, err := f.call(http.MethodGet, entry, "/v1/submissions/"+j.body.Key, nil)
		assert.NilError(t, err)
		assert.Equal(t, kept.Verdict, verdict.Completed, "look-up at %s: %s", entry, kept)
		assert.DeepEqual(t, kept.Answers, j.reply.Answers) // at every entry
	}

	other := job{body: jobBody(j.body.Key, 49, 50*time.Millisecond)}
	var err error
	other.reply, err = f.submitJob("e2", other.body)
	assert.NilError(t, err)
	assert.Equal(t, other.reply.Reason, verdict.KeyConflict)
	f.checkJobs(t, []job{j})
}

func TestJobThatNeverFitsIsRefused(t *testing.T) {
	t.Parallel()
	f := workers(t, 1)
	j := job{body: jobBody(mint("coast"), 3, 50*time.Millisecond)}
	j.body.Needs = &structs.Resources{MilliCPU: 1_000_000}
	var err error
	j.reply, err = f.submitJob("e1", j.body)
	assert.NilError(t, err)
	assert.Equal(t, j.reply.Status, http.StatusBadRequest)
	assert.Equal(t, j.reply.Reason, verdict.NeverFits)
	assert.Equal(t, j.reply.Verdict, verdict.NotRun)
	assert.Equal(t, j.reply.Header, verdict.NotRun.String())
	f.checkJobs(t, []job{j})
}
