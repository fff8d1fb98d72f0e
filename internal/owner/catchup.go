package owner

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/ownership"
)

// catchUp lets queries that arrive before a read of the unit's records share
// that read. A read per query would return the same backlog many times over
// and, after an outage, take the store's bandwidth from the unit's own reads.
type catchUp struct {
	mu      sync.Mutex
	reading bool
	waiters []chan error
}

// readToEnd merges all records that the unit's partition holds at the time of
// the call.
func (u *Unit) readToEnd(ctx context.Context) error {
	done := make(chan error, 1)
	catchUp := &u.catchUp
	catchUp.mu.Lock()
	catchUp.waiters = append(catchUp.waiters, done)
	if !catchUp.reading {
		catchUp.reading = true
		go u.catchUpAll()
	}
	catchUp.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "read the unit to its end")
	}
}

// catchUpAll reads until no query is waiting. Queries that arrive during a read
// wait for the next one: the current read may have passed the records that they
// need.
func (u *Unit) catchUpAll() {
	c := &u.catchUp
	for {
		c.mu.Lock()
		waiting := c.waiters
		c.waiters = nil
		c.reading = len(waiting) > 0
		c.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		err := u.mergeToEnd()
		for _, done := range waiting {
			done <- err
		}
	}
}

// mergeToEnd merges the records from the merged offset to the end that the
// partition had at the first read.
func (u *Unit) mergeToEnd() error {
	from, err := ask(u.ctx, u, func() (int64, error) { return u.mergedOffset, nil })
	if err != nil {
		return err
	}
	target := int64(-1)
	for target < 0 || from < target {
		batch, err := u.Log.Read(u.ctx, ownership.Topic, u.tenure.Unit, from, 0)
		if err != nil {
			return err
		}
		if err := u.do(u.ctx, func() { u.onRecords(batch.Records, batch.Next) }); err != nil {
			return err
		}
		if target < 0 {
			target = batch.End
		}
		if batch.Next <= from {
			return nil
		}
		from = batch.Next
	}
	return nil
}
