package node

import "sync"

// maxUndecided limits the jobs that an entry keeps in mind since their acceptance had no outcome.
const maxUndecided = 1000

// undecidedJobs are jobs of which this entry has told callers that they may be stored. Without a row such a job may
// still become stored. It is safe for concurrent use.
type undecidedJobs struct {
	mu    sync.Mutex
	jobs  map[string]bool
	order []string // oldest first
}

func newUndecidedJobs() *undecidedJobs { return &undecidedJobs{jobs: make(map[string]bool)} }

// add adds a job. The oldest one is dropped if there are too many.
func (u *undecidedJobs) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs[id] {
		return
	}
	if len(u.order) == maxUndecided {
		delete(u.jobs, u.order[0])
		u.order = u.order[1:]
	}
	u.jobs[id] = true
	u.order = append(u.order, id)
}

func (u *undecidedJobs) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id]
}
