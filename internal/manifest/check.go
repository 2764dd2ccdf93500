package manifest

import (
	"fmt"
	"math"
	"strings"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Bounds of the fields of a manifest.
const (
	maxSections        = 100_000
	maxUrgency         = 100
	maxDuration        = 24 * time.Hour
	maxNeed            = 1 << 30
	maxWeight          = 1e6
	maxRate            = 1e8 // task starts per second
	maxBurst           = 1e9 // tasks
	maxKeyTTL          = 7 * 24 * time.Hour
	maxTaskBytes       = 8 << 20
	maxKeptAnswerBytes = 64 << 30
	maxPercent         = 100
	shareSumTolerance  = 1e-9 // rounding error that a sum of decimal shares may have
)

// FieldError is one invalid field of a manifest.
type FieldError struct {
	Field   string // path of the field, such as kinds[unlock].share
	Value   string // value found
	Problem string // what is wrong, and what is expected
}

// Error returns field, value and problem in one line.
func (e FieldError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Field, e.Value, e.Problem) }

// FieldErrors holds all invalid fields of a manifest.
type FieldErrors []FieldError

// Error returns all field errors, separated by "; ".
func (es FieldErrors) Error() string {
	lines := make([]string, 0, len(es))
	for _, e := range es {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "; ")
}

// Check validates a manifest in canonical form. It returns nil, or a
// *verdict.Error with reason ManifestInvalid whose cause is a FieldErrors with
// every invalid field.
func (m *Manifest) Check() error {
	c := &checker{}
	if n := len(m.Kinds) + len(m.Teams); n > maxSections {
		c.add("kinds, teams", n, "must be at most %d sections", maxSections)
	}
	if len(m.Kinds) == 0 {
		c.add("kinds", 0, "must have at least one kind")
	}
	c.kinds(m.Kinds)
	c.teams(m.Teams)
	c.limits(&m.Limits)
	if len(c.errs) == 0 {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ManifestInvalid, "manifest is invalid: %w", c.errs)
}

// checker collects the errors of Check.
type checker struct{ errs FieldErrors }

func (c *checker) add(field string, value any, problem string, args ...any) {
	text := fmt.Sprintf("%+v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%.80q", s)
	}
	c.errs = append(c.errs, FieldError{Field: field, Value: text, Problem: fmt.Sprintf(problem, args...)})
}

func (c *checker) kinds(kinds []Kind) {
	seen := map[string]bool{}
	sums := map[string]float64{}
	for i := range kinds {
		k := &kinds[i]
		path := c.name("kinds", i, k.Name, seen)
		c.kind(path, k)
		sums[k.Class] += k.Share
	}
	for _, class := range []structs.Class{structs.Request, structs.Job} {
		if sum := sums[class.String()]; sum > 1+shareSumTolerance {
			c.add("kinds[*].share", sum, "the shares of class %s must sum to at most 1", class)
		}
	}
}

func (c *checker) kind(path string, k *Kind) {
	isJob := k.Class == structs.Job.String()
	if !isJob && k.Class != structs.Request.String() {
		c.add(path+".class", k.Class, "must be %q or %q", structs.Request, structs.Job)
	}
	c.integer(path+".urgency", int64(k.Urgency), 0, maxUrgency)
	c.number(path+".share", k.Share, 0, 1)
	c.integer(path+".deadline_ms", k.DeadlineMS, 1, maxDuration.Milliseconds())
	c.integer(path+".service_ms", k.ServiceMS, 1, maxDuration.Milliseconds())
	if k.DeadlineMS > 0 && k.ServiceMS > k.DeadlineMS {
		c.add(path+".service_ms", k.ServiceMS, "must be at most deadline_ms %d, otherwise no task can meet its deadline", k.DeadlineMS)
	}
	if !isJob && k.Needs != (structs.Resources{}) {
		c.add(path+".needs", k.Needs, "must be empty: only kinds of class %q have needs", structs.Job)
		return
	}
	c.integer(path+".needs.milli_cpu", k.Needs.MilliCPU, 0, maxNeed)
	c.integer(path+".needs.memory_mb", k.Needs.MemoryMB, 0, maxNeed)
	c.integer(path+".needs.accelerators", k.Needs.Accelerators, 0, maxNeed)
}

func (c *checker) teams(teams []Team) {
	seen := map[string]bool{}
	for i := range teams {
		t := &teams[i]
		path := c.name("teams", i, t.Name, seen)
		c.number(path+".weight", t.Weight, 0, maxWeight)
		c.number(path+".rate_per_second", t.RatePerSecond, 0, maxRate)
		c.integer(path+".burst", int64(t.Burst), 0, maxBurst)
		if t.Burst > 0 && t.RatePerSecond == 0 {
			c.add(path+".burst", t.Burst, "must be 0 without rate_per_second, where it has no effect")
		}
	}
}

func (c *checker) limits(l *Limits) {
	c.integer("limits.key_ttl_ms", l.KeyTTLMS, 1, maxKeyTTL.Milliseconds())
	c.integer("limits.max_body_bytes", l.MaxBodyBytes, 1, maxTaskBytes)
	c.integer("limits.max_answer_bytes", l.MaxAnswerBytes, 1, maxTaskBytes)
	c.integer("limits.kept_answer_bytes", l.KeptAnswerBytes, 1, maxKeptAnswerBytes)
	c.integer("limits.retry_percent", int64(l.RetryPercent), 0, maxPercent)
	c.integer("limits.hedge_percent", int64(l.HedgePercent), 0, maxPercent)
	c.integer("limits.headroom_percent", int64(l.HeadroomPercent), 0, maxPercent)
}

// name checks the name of a kind or team and returns the path of its fields.
func (c *checker) name(list string, i int, name string, seen map[string]bool) string {
	path := fmt.Sprintf("%s[%d]", list, i)
	if !key.ValidName(name) {
		c.add(path+".name", name, "must be 1 to 32 characters of a-z, 0-9, '-', '_' and '.'")
		return path
	}
	path = fmt.Sprintf("%s[%s]", list, name)
	if seen[name] {
		c.add(path+".name", name, "is used by another section; names must be unique")
	}
	seen[name] = true
	return path
}

func (c *checker) integer(field string, v, low, high int64) {
	if v < low || v > high {
		c.add(field, v, "must be from %d to %d", low, high)
	}
}

func (c *checker) number(field string, v, low, high float64) {
	if math.IsNaN(v) || v < low || v > high {
		c.add(field, v, "must be from %g to %g", low, high)
	}
}
