package entry

import (
	"cmp"
	"sync"
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	Ratio float64 // Retries that each request adds to the budget.
	Burst float64 // Maximum number of unused retries.
	Start float64 // Number of unused retries that a new RetryBudget has; zero means Burst.
}

// RetryBudget limits the retries of all requests of a pool at one router, so that a failed endpoint does not
// multiply the load: over any period there are at most Burst retries plus Ratio for each request.
// It is safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig

	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a RetryBudget of an entry that has just started.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, available: min(cmp.Or(config.Start, config.Burst), config.Burst)}
}

// SetBurst changes the maximum number of unused retries; retries beyond it are lost.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Burst = burst
	b.available = min(b.available, burst)
}

// Grant adds retries that were withheld at the start, up to Burst.
func (b *RetryBudget) Grant(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retries, b.config.Burst)
}

// Deposit adds the Ratio of one request, up to Burst.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.config.Ratio, b.config.Burst)
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
