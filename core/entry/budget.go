package entry

import "sync"

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	Ratio float64 // Ratio is the number of retries that each request earns.
	Burst float64 // Burst bounds the retries saved up; a new Budget holds as many.
}

// Budget bounds the retries of all requests of a pool at one router, so that a dead
// endpoint does not multiply the load: over any time there are at most Burst retries
// and Ratio for each request. It may be used by many goroutines.
type Budget struct {
	config BudgetConfig

	mu    sync.Mutex
	saved float64
}

// NewBudget returns a full Budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, saved: config.Burst}
}

// SetBurst sets another bound on the retries saved up; those beyond it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Burst = burst
	b.saved = min(b.saved, burst)
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.config.Ratio, b.config.Burst)
}

// Spend takes one retry and tells whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
