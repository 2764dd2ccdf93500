package dispatch

import "sync"

// budgetBurst is the number of tokens that a budget holds at most, so that a
// quiet entry may still retry.
const budgetBurst = 20

// Budget allows a share of the fresh traffic to be sent a second time. It
// counts, so it needs no clock: retries stay within budgetBurst plus the share
// of the fresh tasks whatever the rate.
type Budget struct {
	mu     sync.Mutex
	share  float64 // tokens earned by a fresh task
	tokens float64
}

// NewBudget returns a full budget for a share in percent.
func NewBudget(percent int) *Budget {
	return &Budget{share: float64(percent) / 100, tokens: budgetBurst}
}

// SetPercent changes the share. Zero stops the earning.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	b.share = float64(percent) / 100
	b.mu.Unlock()
}

// Earn notes one fresh task.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
	b.mu.Unlock()
}

// Take takes one token, and reports false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
