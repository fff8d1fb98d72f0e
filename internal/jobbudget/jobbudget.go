// Package jobbudget bounds the memory of the jobs that a daemon keeps as an owner. It
// decides whether one more large job may be stored. It does no I/O, and time is a
// parameter.
//
// It answers this load pattern: callers submit whole legal bodies, one after another,
// and the jobs, each accepted, fill the memory of their unit's owner.
package jobbudget

import (
	"sync"
	"time"
)

// promiseTime is how long memory is set aside for a job that may be stored and hasn't been
// read yet: the longest append (2.5 s), repeated once, and the read of it.
const promiseTime = 10 * time.Second

// Budget is the memory for jobs of one daemon. It is safe for concurrent use. A nil
// budget has no limit.
type Budget struct {
	limit int64

	mu       sync.Mutex
	kept     int64
	promised map[string]promise
	// promisedBytes is the sum of promised.
	promisedBytes int64
	refused       int64
}

type promise struct {
	bytes int64
	until time.Time
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, promised: map[string]promise{}} }

// Admit reports whether a job of a size may be stored, and sets memory aside for it.
func (b *Budget) Admit(id string, size int64, now time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(id)
	if !b.fits(size) {
		b.expire(now)
	}
	if !b.fits(size) {
		b.refused++
		return false
	}
	b.promised[id] = promise{bytes: size, until: now.Add(promiseTime)}
	b.promisedBytes += size
	return true
}

func (b *Budget) fits(size int64) bool { return b.kept+b.promisedBytes+size <= b.limit }

func (b *Budget) settle(id string) {
	b.promisedBytes -= b.promised[id].bytes
	delete(b.promised, id)
}

func (b *Budget) expire(now time.Time) {
	for id, p := range b.promised {
		if now.After(p.until) {
			b.settle(id)
		}
	}
}

// Keep counts a job that is kept now.
func (b *Budget) Keep(id string, size int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(id)
	b.kept += size
}

// Drop counts jobs that are no longer kept.
func (b *Budget) Drop(size int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept -= size
}

// Stats returns the bytes of the jobs kept and the number of jobs refused.
func (b *Budget) Stats() (kept, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept, b.refused
}
