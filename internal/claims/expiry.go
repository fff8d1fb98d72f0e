package claims

import (
	"container/heap"
	"time"
)

// ageQueue is a heap of entries, oldest first.
type ageQueue []*entry

// Len implements heap.Interface.
func (q ageQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q ageQueue) Less(i, j int) bool { return q[i].claimedAt.Before(q[j].claimedAt) }

// Swap implements heap.Interface.
func (q ageQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *ageQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *ageQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// put stores e as the entry of its key.
func (r *Registry) put(e *entry) {
	if held, ok := r.entries[e.Key]; ok {
		r.drop(held)
	}
	r.entries[e.Key] = e
	heap.Push(&r.byAge, e)
}

// drop deletes an entry and wakes the requests that wait for it.
func (r *Registry) drop(e *entry) {
	delete(r.entries, e.Key)
	heap.Remove(&r.byAge, e.index)
	r.bodies -= len(e.Result.Body)
	if e.State <= Started {
		close(e.done)
	}
	e.Result = Result{}
}

// expire deletes the entries that are older than the window.
func (r *Registry) expire() {
	oldest := r.now().Add(-r.options.Window)
	for len(r.byAge) > 0 && !r.byAge[0].claimedAt.After(oldest) {
		r.drop(r.byAge[0])
	}
}

// Stats are the figures of a registry.
type Stats struct {
	Claims int
	// Bodies is the size of the answer bodies kept, in bytes.
	Bodies int
	// LostAge is the time since claims were last lost, 0 if none were.
	LostAge time.Duration
}

// Stats returns the current figures.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{Claims: len(r.entries), Bodies: r.bodies}
	if r.loss.epoch > 0 {
		s.LostAge = r.now().Sub(r.loss.at)
	}
	return s
}
