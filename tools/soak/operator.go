package main

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	queueHost = "soak.example"
	// teamName's jobs count against teamCPU; keyInForce is its key throughout, and
	// keyWithdrawn until withdrawAfter.
	teamName      = "t"
	teamCPU       = 20_000
	keyInForce    = "key-1"
	keyWithdrawn  = "key-2"
	withdrawAfter = 500 * time.Millisecond
	movingQueue   = "r-moves"
	firstPool     = "p"
	secondPool    = "q"
)

// queue is a queue of the configuration.
type queue struct {
	name        string
	path        string
	maxAttempts int
	// pool is where the configuration sends the queue now; pools holds all pools that a
	// version has sent it to.
	pool  string
	pools map[string]bool
	// movedAt is when a version last sent the queue to another pool.
	movedAt time.Time
	// removed queues are not in the configuration now.
	removed bool
}

// operator writes versions of the configuration.
type operator struct {
	harness *harness
	mu      sync.Mutex
	version int
	queues  []*queue
	// withdrawnAt is when keyWithdrawn was withdrawn.
	withdrawnAt time.Time
}

func newOperator(h *harness) *operator {
	o := &operator{harness: h}
	for _, q := range []*queue{
		{name: "r-a", path: "/a/", maxAttempts: 4, pool: firstPool},
		{name: "r-b", path: "/b/", maxAttempts: 4, pool: secondPool},
		{name: movingQueue, path: "/moves/", maxAttempts: 4, pool: firstPool},
		{name: "r-comes", path: "/comes/", maxAttempts: 2, pool: secondPool},
	} {
		q.pools = map[string]bool{q.pool: true}
		o.queues = append(o.queues, q)
	}
	return o
}

// apply changes the configuration and writes it whole.
func (o *operator) apply(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
	o.version++
	keys := []string{keyInForce}
	if o.withdrawnAt.IsZero() {
		keys = append(keys, keyWithdrawn)
	}
	var routes []map[string]any
	for _, q := range o.queues {
		if q.removed {
			continue
		}
		q.pools[q.pool] = true
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "path_prefix": q.path, "service": q.pool,
			"max_attempts": q.maxAttempts, "stretch": 2, "target_latency_ms": 1000,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes, "services": []map[string]any{{"name": firstPool}, {"name": secondPool}},
		"limits":  map[string]int{"max_body_bytes": 65536},
		"tenants": []map[string]any{{"name": teamName, "api_keys": keys, "weight": 100, "cap": map[string]int{"cpu": teamCPU}}},
	})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	o.harness.appendRecord("keyed.op", "config", data)
}

func (o *operator) withdrawKey() { o.apply(func() { o.withdrawnAt = time.Now() }) }

// moveQueue sends a queue to the other pool.
func (o *operator) moveQueue() {
	o.apply(func() {
		q := o.queues[2]
		q.pool = map[string]string{firstPool: secondPool, secondPool: firstPool}[q.pool]
		q.movedAt = time.Now()
	})
}

// movedSince reports whether a queue has been sent to another pool since a time.
func (o *operator) movedSince(q *queue, t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return q.movedAt.After(t)
}

// setRemoved removes a queue or adds it again.
func (o *operator) setRemoved(removed bool) {
	o.apply(func() { o.queues[3].removed = removed })
}

// sentTo reports whether a version of the configuration has sent a queue to a pool.
func (o *operator) sentTo(q *queue, pool string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return q.pools[pool]
}
