package traffic

import "sync"

// Bounds of the retries that one daemon sends to backend servers.
const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.06
	// initialRetries is the budget before any request.
	initialRetries = 10
	// maxSavedRetries is the largest budget.
	maxSavedRetries = 10
)

// retryBudget is a token bucket that limits retries to a fraction of the
// requests, so that a total failure of the backend servers doesn't multiply
// their load. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetries} }

// deposit adds the retries that one request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retryRatio)
}

// spend takes one retry from the budget. It returns false when less than one is
// left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
