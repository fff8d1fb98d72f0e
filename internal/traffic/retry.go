package traffic

import "sync"

// Bounds of the retries that one daemon sends to backend servers.
const (
	// retryRatio is the retries earned by each request.
	retryRatio = 0.06
	// firstRetries are those at hand before any request.
	initialRetries = 10
	// mostRetries is the most that are saved up.
	maxSavedRetries = 10
)

// retryBudget bounds retries to a fraction of the requests, so that a total
// failure of the backend servers doesn't multiply what is offered to them. It
// is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetries} }

// earn notes a request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retryRatio)
}

// spend takes a retry, or returns false when there is none.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
