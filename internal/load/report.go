package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantstall/internal/verdict"
)

const (
	maxLatencyMicros    = int64(10 * time.Minute / time.Microsecond)
	maxRatioThousandths = int64(10_000_000) // thousandths
	significantDigits   = 3
)

// Refusal is the verdict and the reason of an answer that is not completed. A
// call without an answer counts under the zero verdict and the reason
// "no_answer".
type Refusal struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
}

// NoAnswer is the reason of a call that got no answer.
const NoAnswer verdict.Reason = "no_answer"

// Result holds the figures of one stream, over the calls with an intended send
// time after the warm-up.
type Result struct {
	Stream    Stream
	Sent      int
	Unsent    int // not sent, because too many were in flight
	Completed int
	OnTime    int
	// UsefulServiceTime is the run time of all tasks of the calls that were on
	// time and ended within the counted time, whenever they were sent.
	UsefulServiceTime time.Duration
	// AllSent is the number of calls, and AllTasks the number of tasks of
	// completed calls, in the whole run including the warm-up.
	AllSent  int
	AllTasks int
	Refused  map[Refusal]int
	// Latency is the time from the intended send time to the answer of
	// completed calls, µs.
	Latency *hdrhistogram.Histogram
	// ResponseRatio is the latency divided by the run time of the longest task,
	// in thousandths.
	ResponseRatio *hdrhistogram.Histogram
	// RefusalLatency is the time from the sending to the refusal, µs.
	RefusalLatency *hdrhistogram.Histogram
	// SendLag is the time from the intended send time to the sending, µs.
	SendLag *hdrhistogram.Histogram
}

// recorder collects a Result. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	Result
}

func newRecorder(s Stream) *recorder {
	return &recorder{Result: Result{
		Stream:         s,
		Refused:        map[Refusal]int{},
		Latency:        hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		ResponseRatio:  hdrhistogram.New(1, maxRatioThousandths, significantDigits),
		RefusalLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		SendLag:        hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}}
}

// recordCapped records a value, capped at the histogram's highest.
func recordCapped(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(max(1, min(v, h.HighestTrackableValue())))
}

func (r *recorder) recordCounted(c *call, sent, end time.Time, a answerBody, err error) {
	latency := end.Sub(c.intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	recordCapped(r.SendLag, sent.Sub(c.intended).Microseconds())
	switch {
	case err != nil:
		r.Refused[Refusal{Reason: NoAnswer}]++
		return
	case a.Verdict != verdict.Completed:
		r.Refused[Refusal{a.Verdict, a.Reason}]++
		recordCapped(r.RefusalLatency, end.Sub(sent).Microseconds())
		return
	}
	r.Completed++
	recordCapped(r.Latency, latency.Microseconds())
	recordCapped(r.ResponseRatio, int64(1000*float64(latency)/float64(c.longestTask())))
	if latency <= c.stream.Deadline {
		r.OnTime++
	}
}

// countCall counts a call, which may lie within the warm-up.
func (r *recorder) countCall(c *call, a answerBody, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.AllSent++
	if err == nil && a.Verdict == verdict.Completed {
		r.AllTasks += len(c.serviceTimes)
	}
}

// addUseful adds the run time of a call that ended within the counted time, if
// it was on time.
func (r *recorder) addUseful(c *call, end time.Time, a answerBody, err error) {
	if err != nil || a.Verdict != verdict.Completed || end.Sub(c.intended) > c.stream.Deadline {
		return
	}
	r.mu.Lock()
	r.UsefulServiceTime += c.totalServiceTime()
	r.mu.Unlock()
}

func (r *recorder) countUnsent() {
	r.mu.Lock()
	r.Unsent++
	r.mu.Unlock()
}

// WriteReport prints the results as text, one block per stream.
func WriteReport(w io.Writer, results []Result) error {
	var b strings.Builder
	for i := range results {
		results[i].write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) write(b *strings.Builder) {
	fmt.Fprintf(b, "%s %s team %s: sent %d, unsent %d, completed %d, on time %d\n",
		r.Stream.Class, r.Stream.Kind, r.Stream.Team, r.Sent, r.Unsent, r.Completed, r.OnTime)
	for _, k := range r.sortedRefusals() {
		fmt.Fprintf(b, "  refused %s %s: %d\n", k.Verdict, k.Reason, r.Refused[k])
	}
	if r.Completed == 0 {
		return
	}
	fmt.Fprintf(b, "  latency ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f\n",
		percentileMS(r.Latency, 50), percentileMS(r.Latency, 90), percentileMS(r.Latency, 99), percentileMS(r.Latency, 100))
	fmt.Fprintf(b, "  over the longest task: p50 %.3f, p99 %.3f\n", r.ResponseRatioAt(50), r.ResponseRatioAt(99))
}

// sortedRefusals returns the keys of Refused in a fixed order.
func (r *Result) sortedRefusals() []Refusal {
	keys := make([]Refusal, 0, len(r.Refused))
	for k := range r.Refused {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Refusal) int {
		if a.Verdict != b.Verdict {
			return int(a.Verdict) - int(b.Verdict)
		}
		return strings.Compare(string(a.Reason), string(b.Reason))
	})
	return keys
}

// ResponseRatioAt returns a percentile (0 to 100) of the response ratio.
func (r *Result) ResponseRatioAt(percentile float64) float64 {
	return float64(r.ResponseRatio.ValueAtQuantile(percentile)) / 1000
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
