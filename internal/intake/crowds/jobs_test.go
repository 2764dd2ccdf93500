package crowds

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	linkedEntries = 6
	linkedCallers = 60 // of each entry
	rounds        = 3  // how often each caller comes, each time with a job of its own
	// mostSteps and mostTasks are the steps and the tasks that a job may have.
	mostSteps = 1_000
	mostTasks = 10_000
	// mostOccurrences is how often a recurring job may run.
	mostOccurrences = 4_000
	labelBytes      = 950 // of which mostSteps fit into a body
	unreadCallers   = 2 * maxDescriptors
	unreadBuffer    = 2 << 10 // for the answers of a caller that does not read them
	unreadAnswers   = 8       // of up to bodyBytes
	// patience is what the callers of jobs tell the entry that they wait.
	patience = time.Hour
)

// jobSpec makes a task of a job end soon.
const jobSpec = `"spec":"{\"ms\":20,\"how\":\"done\"}"`

// jobCrowd is callers that submit whole jobs of legal size.
type jobCrowd struct {
	name string
	body []byte
	// unread callers do not read the answers.
	unread bool
}

const (
	bestEffort = `,"best_effort":true`
	stored     = ""
)

func job(steps, rest string) []byte {
	return []byte(`{` + jobSpec + `,"steps":[` + steps + `]` + rest + `}`)
}

// manyDependencies is a job whose second step names the first one as often as the body holds.
func manyDependencies(rest string) []byte {
	return job(`{"count":1,"cpu":1000},{"count":1,"cpu":1000,"after":[0`+string(repeated(",0", bodyBytes-500))+`]}`, rest)
}

// denseDependencies is a job whose steps each depend on all earlier ones, as many as the body holds.
func denseDependencies(rest string) []byte {
	var steps, after bytes.Buffer
	for i := 0; i < mostSteps && steps.Len()+after.Len() < bodyBytes-500; i++ {
		if i > 0 {
			fmt.Fprint(&steps, ",")
			fmt.Fprintf(&after, "%s%d", strings.Repeat(",", min(i-1, 1)), i-1)
		}
		fmt.Fprintf(&steps, `{"count":1,"cpu":1000,"after":[%s]}`, after.Bytes())
	}
	return job(steps.String(), rest)
}

// manySteps is a job of as many steps and tasks as there may be.
func manySteps(rest string) []byte {
	step := fmt.Sprintf(`{"count":%d,"cpu":1000,"est_ms":1}`, mostTasks/mostSteps)
	return job(step+strings.Repeat(","+step, mostSteps-1), rest)
}

// manyLabels is a job whose steps each prefer a rack of their own with a long name.
func manyLabels(rest string) []byte {
	var steps bytes.Buffer
	for i := range mostSteps {
		fmt.Fprintf(&steps, `%s{"count":1,"cpu":1000,"affinity":"%0*d"}`, strings.Repeat(",", min(i, 1)), labelBytes, i)
	}
	return job(steps.String(), rest)
}

func longLabel(rest string) []byte {
	return job(`{"count":1,"cpu":1000,"requires":"`+string(repeated("r", bodyBytes-500))+`"}`, rest)
}

func manyTasks(rest string) []byte {
	return job(fmt.Sprintf(`{"count":%d,"cpu":1000,"est_ms":1}`, mostTasks), rest)
}

// longNumber is no valid job: a count has more digits than any number.
func longNumber(rest string) []byte {
	return job(`{"count":`+string(repeated("1", bodyBytes-500))+`}`, rest)
}

// overlapping is the rest of a recurring job whose occurrences are all due.
var overlapping = fmt.Sprintf(`,"repeats":%d,"first_ms":1,"interval_ms":1`, mostOccurrences)

// lastJob numbers the jobs of the crowds.
var lastJob atomic.Int64

// come submits a job of the caller's own and waits for the answer, for hold at most. It returns the
// connection, nil if there is none.
func (c *jobCrowd) come(addr, prefix string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil // refused
	}
	_ = conn.SetWriteDeadline(time.Now().Add(maxWrite))
	if err := c.send(conn, prefix); err != nil {
		return conn
	}
	if c.unread {
		time.Sleep(hold)
		return conn
	}
	_ = conn.SetReadDeadline(time.Now().Add(hold))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return conn
}

// send sends a job of the caller's own.
func (c *jobCrowd) send(conn net.Conn, prefix string) error {
	head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		prefix, 1<<32+lastJob.Add(1), queueHost, patience.Milliseconds(), len(c.body))
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	_, err := conn.Write(c.body)
	return err
}

// play lets callers come to each process. The connections of the last round stay open until the cleanup.
func (c *jobCrowd) play(t *testing.T, ps []*process, callers int, prefix string) {
	t.Helper()
	for round := range rounds {
		var wg sync.WaitGroup
		for _, p := range ps {
			for range callers {
				wg.Go(func() {
					conn := c.come(p.servers["callers"], prefix)
					switch {
					case conn == nil:
					case round == rounds-1:
						t.Cleanup(func() { _ = conn.Close() })
					default:
						_ = conn.Close()
					}
				})
			}
		}
		wg.Wait()
	}
}

// assertHeld asserts that each process lives, has kept its bounds and serves an ordinary request,
// after play.
func assertHeld(t *testing.T, ps []*process, play func()) {
	t.Helper()
	calm, stops := make([]int, len(ps)), make([]func() int, len(ps))
	for i, p := range ps {
		calm[i], stops[i] = p.peakMiB(), p.descriptors()
	}
	play()
	time.Sleep(hold) // stored jobs are accepted before their owner has them
	for i, p := range ps {
		most := stops[i]()
		p.eventually("an ordinary request is served", p.ask)
		peak := p.peakMiB()
		t.Logf("entry %d: peak of memory %d MiB (%d in calm), most descriptors %d", i+1, peak, calm[i], most)
		assert.Check(t, peak <= memoryMiB, "entry %d: peak of memory %d MiB", i+1, peak)
		assert.Check(t, most <= maxDescriptors, "entry %d: descriptors %d", i+1, most)
	}
}

func (c jobCrowd) assertHolds(t *testing.T, ps []*process, callers int, prefix string) {
	t.Helper()
	assertHeld(t, ps, func() { c.play(t, ps, callers, prefix) })
}

// TestJobsWithoutTargets plays jobs at an entry that no target is listed for.
func TestJobsWithoutTargets(t *testing.T) {
	for _, c := range []jobCrowd{
		{name: "many dependencies", body: manyDependencies(bestEffort)},
		{name: "many dependencies, stored", body: manyDependencies(stored)},
		{name: "dense dependencies", body: denseDependencies(bestEffort)},
		{name: "long label", body: longLabel(bestEffort)},
		{name: "long label, stored", body: longLabel(stored)},
		{name: "long number", body: longNumber(bestEffort), unread: true},
		{name: "many tasks, stored", body: manyTasks(stored)},
		{name: "overlapping occurrences", body: manyTasks(overlapping)},
	} {
		t.Run(c.name, func(t *testing.T) { c.assertHolds(t, []*process{startServe(t)}, bodyCallers, queuePrefix) })
	}
}

// TestLargeJobsInCalm submits one job at a time: each is inside the limits, and is served.
func TestLargeJobsInCalm(t *testing.T) {
	p := startDeployment(t, 1)[0]
	for _, c := range []struct {
		jobCrowd
		want string // the state in the answer
	}{
		{jobCrowd{name: "many dependencies", body: manyDependencies(bestEffort)}, "complete"},
		{jobCrowd{name: "dense dependencies", body: denseDependencies(bestEffort)}, "complete"},
		{jobCrowd{name: "many labels", body: manyLabels(bestEffort)}, "complete"},
		{jobCrowd{name: "many steps", body: manySteps(bestEffort)}, "complete"},
		{jobCrowd{name: "many tasks", body: manyTasks(bestEffort)}, "complete"},
		{jobCrowd{name: "many steps, stored", body: manySteps(stored)}, "queued"},
		{jobCrowd{name: "many tasks, stored", body: manyTasks(stored)}, "queued"},
		{jobCrowd{name: "overlapping occurrences", body: manyTasks(overlapping)}, "queued"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", p.servers["callers"])
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, c.send(conn, bulkPrefix))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), fmt.Sprintf("{\"state\":%q}\n", c.want))
		})
	}
	assert.Check(t, p.peakMiB() <= memoryMiB)
}

// queuedJobs are crowds whose jobs wait in their queue for room on the targets.
var queuedJobs = []jobCrowd{
	{name: "many dependencies", body: manyDependencies(bestEffort)},
	{name: "dense dependencies", body: denseDependencies(bestEffort)},
	{name: "many labels", body: manyLabels(bestEffort)},
	{name: "many steps", body: manySteps(bestEffort)},
	{name: "many tasks", body: manyTasks(bestEffort)},
	{name: "many tasks, stored", body: manyTasks(stored)},
}

// TestQueuedJobs plays jobs at an entry whose targets have too little room for them.
func TestQueuedJobs(t *testing.T) {
	for _, c := range append([]jobCrowd{{name: "overlapping occurrences", body: manyTasks(overlapping)}}, queuedJobs...) {
		t.Run(c.name, func(t *testing.T) { c.assertHolds(t, startDeployment(t, 1), bodyCallers, bulkPrefix) })
	}
}

// TestJobsAtLinkedEntries plays jobs at all entries of a deployment, of which one leads.
func TestJobsAtLinkedEntries(t *testing.T) {
	for _, c := range queuedJobs {
		t.Run(c.name, func(t *testing.T) { c.assertHolds(t, startDeployment(t, linkedEntries), linkedCallers, bulkPrefix) })
	}
}

// playUnread lets callers send the same and read no answer. Their connections stay open until the cleanup.
func playUnread(t *testing.T, addr string, callers int, requests []byte) {
	t.Helper()
	var wg sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue // refused
		}
		t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
			_ = conn.SetWriteDeadline(time.Now().Add(maxWrite))
			_, _ = conn.Write(requests)
			time.Sleep(hold)
		})
	}
	wg.Wait()
}

// TestAnswersThatAreNotRead plays more callers than there are connections, each with requests one after another whose
// answers are together larger than what the kernel keeps of them.
func TestAnswersThatAreNotRead(t *testing.T) {
	number := longNumber(bestEffort)
	submission := append(fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", queuePrefix, 1<<32, queueHost, len(number)), number...)
	for _, c := range []struct {
		name     string
		start    func(*testing.T) *process
		requests []byte
	}{
		{"serve", startServe, bytes.Repeat(submission, unreadAnswers)},
		{"entry", startEntry, bytes.Repeat([]byte("POST /v1/keys?count=10000 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"), 2*unreadAnswers)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := c.start(t)
			assertHeld(t, []*process{p}, func() { playUnread(t, p.servers["callers"], unreadCallers, c.requests) })
		})
	}
}

// entryCalls are calls of the product's own interface whose whole bodies or answers are large.
var entryCalls = []struct {
	name, request string
	body          func() []byte
}{
	{"many keys minted", "POST /v1/keys?count=10000", func() []byte { return nil }},
	{"many keys claimed", "POST /v1/account/claims", func() []byte { return []byte(`{"keys":[""` + string(repeated(`,""`, bodyBytes-100)) + `]}`) }},
	{"long name of a field", "POST /v1/requests", func() []byte { return []byte(`{"` + string(repeated("n", bodyBytes-100)) + `":1}`) }},
	{"long number", "POST /v1/requests", func() []byte { return []byte(`{"deadline_ms":` + string(repeated("1", bodyBytes-100)) + `}`) }},
	{"manifest of lines", "PUT /v1/manifest?base=0", func() []byte { return append([]byte("kinds:\n"), repeated("- a\n", bodyBytes-100)...) }},
	{"manifest of one line", "PUT /v1/manifest?base=0", func() []byte { return append(append([]byte("kinds: ["), repeated("a,", bodyBytes-100)...), ']') }},
	{"manifest as JSON", "PUT /v1/manifest?base=0", func() []byte {
		return append(append([]byte(`{"kinds":[{}`), repeated(",{}", bodyBytes-100)...), "]}"...)
	}},
	{"body of a request", "POST /v1/requests", func() []byte {
		return []byte(`{"kind":"unlock","team":"households","body":[0` + string(repeated(",0", bodyBytes-100)) + `]}`)
	}},
	{"tasks of a job", "POST /v1/submissions", func() []byte {
		task := `"` + string(repeated("t", 1_500)) + `"`
		return []byte(`{"kind":"dusk-unlocks","team":"households","tasks":[` + task + strings.Repeat(","+task, 600) + `]}`)
	}},
}

// TestCallsOfTheOwnInterface plays large calls of callers that read no answer.
func TestCallsOfTheOwnInterface(t *testing.T) {
	for _, c := range entryCalls {
		t.Run(c.name, func(t *testing.T) {
			p := startEntry(t)
			body := c.body()
			request := append(fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", c.request, len(body)), body...)
			assertHeld(t, []*process{p}, func() { playUnread(t, p.servers["callers"], bodyCallers, request) })
		})
	}
}
