package dispatch

import "sync"

// budgetBurst is the maximum number of tokens in a budget. It lets an entry
// with little traffic still retry.
const budgetBurst = 20

// Budget limits the extra sends (retries or hedges) to a share of the new
// tasks. It counts tasks and needs no clock: at any rate of traffic, extra
// sends stay within budgetBurst plus the share of the new tasks.
type Budget struct {
	mu     sync.Mutex
	share  float64 // tokens earned per new task
	tokens float64
}

// NewBudget returns a full budget with a share in percent.
func NewBudget(percent int) *Budget {
	return &Budget{share: float64(percent) / 100, tokens: budgetBurst}
}

// SetPercent changes the share. At 0 the budget earns no more tokens.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	b.share = float64(percent) / 100
	b.mu.Unlock()
}

// Earn adds the tokens for one new task.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
	b.mu.Unlock()
}

// Take takes one token. It returns false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
