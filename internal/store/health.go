package store

import (
	"context"
	"sync"
	"time"
)

const (
	// outageFailures in a row, with nothing served in between, tell an outage from
	// single lost answers.
	outageFailures = 3
	// outageSilence is for how long nothing may have been served for it: well over
	// an answer of a slow store (60 times 4 ms).
	outageSilence = 500 * time.Millisecond
	// outageSpan is what lies between the first failure and the last one at least:
	// connections that are reset together fail together.
	outageSpan = 300 * time.Millisecond
	// failureTTL is how long the last failure counts while nothing is called.
	failureTTL = 2 * time.Second
)

// Health tells whether the store serves this daemon's calls, all or those of a
// kind, from what becomes of them. Whoever relies on it sees to it that some call
// goes on during an outage: only a call that is served ends one.
type Health struct {
	clock func() time.Duration
	// threshold failures in a row are an outage.
	threshold int

	mu sync.Mutex
	// servedAt is when a call was last served, failures counts those since.
	servedAt time.Duration
	failures int
	// firstFailureAt is when the first of them ended, failedAt when the last one did.
	firstFailureAt time.Duration
	lastFailureAt  time.Duration
	// recovered is closed when the store serves again after an outage.
	recovered chan struct{}
}

// NewHealth returns the health of a store that is taken to serve, until some calls
// in a row have failed.
func NewHealth(clock func() time.Duration, failures int) *Health {
	return &Health{clock: clock, threshold: failures, servedAt: clock(), recovered: make(chan struct{})}
}

// Observe notes what became of a call. A refusal that says why, such as that of
// a fenced append, is served.
func (h *Health) Observe(served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if served {
		if h.away(now) > 0 {
			close(h.recovered)
			h.recovered = make(chan struct{})
		}
		h.servedAt, h.failures = now, 0
		return
	}
	if h.failures == 0 {
		h.firstFailureAt = now
	}
	h.failures++
	h.lastFailureAt = now
}

// Away returns for how long the store hasn't served; 0 means that it does.
func (h *Health) Away() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.away(h.clock())
}

// untilRecovery returns a context that ends when the store serves again after an
// outage: what was sent during it may never be answered.
func (h *Health) untilRecovery(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	recovered := h.recovered
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (h *Health) away(now time.Duration) time.Duration {
	switch {
	case h.failures < h.threshold, now-h.servedAt < outageSilence:
		return 0
	case h.lastFailureAt-h.firstFailureAt < outageSpan, now-h.lastFailureAt > failureTTL:
		return 0
	}
	return max(now-h.firstFailureAt, time.Millisecond)
}
