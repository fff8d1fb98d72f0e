package store

import (
	"context"
	"sync"
	"time"
)

const (
	// outageFailures is how many consecutive failures are an outage; fewer are
	// single lost answers.
	outageFailures = 3
	// outageSilence is how long no call may have been served before an outage is
	// detected: well over the latency of a slow store (60 times 4 ms).
	outageSilence = 500 * time.Millisecond
	// outageSpan is the least time between the first and the last failure of an
	// outage: connections that are reset at the same moment fail together.
	outageSpan = 300 * time.Millisecond
	// failureTTL is how long the last failure counts if there are no further calls.
	failureTTL = 2 * time.Second
	// slowLatency is the latency from which a call counts as slow: well over that of a
	// busy store, and half of that of a slow one (50 times 4 ms).
	slowLatency = 100 * time.Millisecond
	// slowMemory is how long the store counts as slow after a slow call; daemons with
	// little to do call it that often.
	slowMemory = 1500 * time.Millisecond
)

// Health detects outages of the store, as this daemon sees them, from the results
// of calls: of all calls, or of those of one kind. An outage ends with a served
// call, or failureTTL after the last failure, so its user must make calls during
// one, too. It is safe for concurrent use.
type Health struct {
	clock func() time.Duration
	// threshold is how many consecutive failures are an outage.
	threshold int

	mu sync.Mutex
	// servedAt is when a call was last served, or the start if none was.
	servedAt time.Duration
	// proven is set once a call has been served.
	proven bool
	// failures is the number of failures since servedAt.
	failures int
	// firstFailureAt is when the first of them ended.
	firstFailureAt time.Duration
	// lastFailureAt is when the last of them ended.
	lastFailureAt time.Duration
	// slowUntil is when the store no longer counts as slow.
	slowUntil time.Duration
	// recovered is closed, and replaced, when a call is served after an outage.
	recovered chan struct{}
}

// NewHealth returns a health without an outage. Clock is a monotonic clock, and
// failures is how many consecutive failures are an outage.
func NewHealth(clock func() time.Duration, failures int) *Health {
	return &Health{clock: clock, threshold: failures, servedAt: clock(), recovered: make(chan struct{})}
}

// Observe records the result of a call. A refusal because of the log's contents,
// such as that of a fenced append, counts as served.
func (h *Health) Observe(served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if served {
		if h.away(now) > 0 {
			close(h.recovered)
			h.recovered = make(chan struct{})
		}
		h.servedAt, h.failures, h.proven = now, 0, true
		return
	}
	if h.failures == 0 {
		h.firstFailureAt = now
	}
	h.failures++
	h.lastFailureAt = now
}

// Away returns for how long the store has been unavailable: the time since the first
// failure of the current outage, or 0 if there is none.
func (h *Health) Away() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.away(h.clock())
}

// Failing reports whether the last calls have all failed, as many as in an outage. It
// may turn out to be a moment of lost connections.
func (h *Health) Failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= h.threshold && h.clock()-h.lastFailureAt < failureTTL
}

// Serving reports whether the last call was served; false before the first one.
func (h *Health) Serving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proven && h.failures == 0
}

// ObserveLatency records how long the store took for a call, answered or not.
func (h *Health) ObserveLatency(took time.Duration) {
	if took >= slowLatency {
		h.MarkSlow()
	}
}

// MarkSlow records that the store has more work than it can do.
func (h *Health) MarkSlow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slowUntil = h.clock() + slowMemory
}

// Slow reports whether the store has recently taken much longer than usual for a call,
// or was marked as slow.
func (h *Health) Slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() < h.slowUntil
}

// untilRecovery returns a context that is cancelled when the store serves a call
// again after an outage: calls sent during the outage may never be answered.
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
