package pool

import "currantstall/internal/fleet"

// Memory bounds what the jobs of all pools of an entry take. What large jobs take beyond an
// ordinary one has a part of its own, so that ordinary jobs find room beside a crowd of large
// ones. A nil Memory bounds nothing.
type Memory struct{ limit, used JobSize }

const (
	// taskBytes is the memory of a task, in bytes.
	taskBytes = 256
	// ordinaryBytes is the part of a job that does not count as large, in bytes.
	ordinaryBytes = 8 << 10
	// largeShare is the part of the memory for jobs that large ones may use beyond that.
	largeShare = 2
)

// JobSize is memory of jobs, in bytes.
type JobSize struct {
	Ordinary int64 `cbor:"1,keyasint,omitempty"` // up to ordinaryBytes of each job
	Large    int64 `cbor:"2,keyasint,omitempty"` // the rest
}

// SizeOf returns what a job takes, for a recurring one with one of its occurrences.
func SizeOf(j *fleet.Job) JobSize {
	n := j.MemoryBytes() + taskBytes*int64(j.TaskCount())
	return JobSize{min(n, ordinaryBytes), max(n-ordinaryBytes, 0)}
}

// Plus returns the sum of two sizes.
func (s JobSize) Plus(o JobSize) JobSize { return JobSize{s.Ordinary + o.Ordinary, s.Large + o.Large} }

// Minus returns the difference of two sizes.
func (s JobSize) Minus(o JobSize) JobSize { return JobSize{s.Ordinary - o.Ordinary, s.Large - o.Large} }

// Fits reports whether jobs have room in r.
func (s JobSize) Fits(r JobSize) bool {
	return s.Ordinary <= r.Ordinary && (s.Large == 0 || s.Large <= r.Large)
}

// NewMemory returns a Memory of limit bytes, nil if limit is 0.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		return nil
	}
	return &Memory{limit: JobSize{limit - limit/largeShare, limit / largeShare}}
}

// Room returns the memory that is left, nil if it is not bounded. It is negative after jobs were
// added that could not be refused.
func (m *Memory) Room() *JobSize {
	if m == nil {
		return nil
	}
	room := m.limit.Minus(m.used)
	return &room
}

func (m *Memory) fits(s JobSize) bool { return m == nil || s.Fits(*m.Room()) }

func (m *Memory) take(s JobSize) {
	if m != nil {
		m.used = m.used.Plus(s)
	}
}

func (m *Memory) free(s JobSize) {
	if m != nil {
		m.used = m.used.Minus(s)
	}
}

// addJob adds a job, with or without room for it.
func (p *Pool) addJob(j *job) {
	p.jobs[j.ID] = j
	j.size = SizeOf(&j.Job)
	p.cfg.Memory.take(j.size)
}

// dropJob removes a job.
func (p *Pool) dropJob(j *job) {
	if p.jobs[j.ID] == j {
		delete(p.jobs, j.ID)
		p.cfg.Memory.free(j.size)
	}
}

// dropAllJobs removes all jobs.
func (p *Pool) dropAllJobs() {
	for _, j := range p.jobs {
		p.cfg.Memory.free(j.size)
	}
	p.jobs = make(map[string]*job)
}
