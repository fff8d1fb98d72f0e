package intake

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/store"
)

// batcher stores records by unit, one append at a time: those that arrive while an
// append is in flight are stored together in the next one. A partition takes one
// append at a time; with one for each record, a slow store would let them queue up
// there. Records that were handed over together are stored together. The zero value
// is ready to use.
type batcher struct {
	// batches holds a *batch for each unit.
	batches sync.Map
}

// batch holds the records to be stored in one unit's partition while an append is
// in flight.
type batch struct {
	mu        sync.Mutex
	appending bool
	pending   []pendingRecords
}

// pendingRecords are records whose sender waits for the result on done, which has a
// buffer of one.
type pendingRecords struct {
	records []store.Record
	done    chan error
}

// append stores records with the next call of a function for their unit, which stores
// records of at most a limit, in bytes, and returns its result. If the context ends
// first, it is unknown whether they are stored.
func (b *batcher) append(ctx context.Context, unit int, records []store.Record, limit int, send func(int, []store.Record) error) error {
	p := pendingRecords{records: records, done: make(chan error, 1)}
	entry, _ := b.batches.LoadOrStore(unit, &batch{})
	of := entry.(*batch)
	of.mu.Lock()
	of.pending = append(of.pending, p)
	if !of.appending {
		of.appending = true
		go of.flush(unit, limit, send)
	}
	of.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(store.ErrUnknown, ctx.Err().Error())
	}
}

// flush sends the pending records, batch by batch, until there are none.
func (b *batch) flush(unit, limit int, send func(int, []store.Record) error) {
	for {
		b.mu.Lock()
		pending := b.take(limit)
		b.appending = len(pending) > 0
		b.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		var records []store.Record
		for _, p := range pending {
			records = append(records, p.records...)
		}
		err := send(unit, records)
		for _, p := range pending {
			p.done <- err
		}
	}
}

// take removes the first pending records that are together within a limit.
func (b *batch) take(limit int) []pendingRecords {
	count, size := 0, 0
	for _, p := range b.pending {
		size += store.AppendSize(p.records)
		if size > limit && count > 0 {
			break
		}
		count++
	}
	taken := b.pending[:count:count]
	b.pending = b.pending[count:]
	return taken
}
