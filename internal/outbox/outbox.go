// Package outbox appends a member's records, one at a time, until each has
// been read back.
//
// A reply of the log is never trusted: a record counts as appended once its
// author reads it in the stream. Until then the same bytes are sent again, and
// the fold ignores the copies by their sequence.
package outbox

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Times of one append and of the pause before it is sent again. The first
// pause leaves time to read the record back.
const (
	appendTimeout     = 2 * time.Second
	initialRetryDelay = 500 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// Outbox sends the records of one member. It is safe for concurrent use.
type Outbox struct {
	log    platform.Log
	stream platform.Stream
	author record.MemberID

	mu      sync.Mutex
	seq     uint64
	queue   []record.Body
	current *pendingRecord
	wake    chan struct{}
}

type pendingRecord struct {
	id        string
	createdAt time.Time
	data      []byte
	done      chan struct{}
}

// New returns an outbox for the records of author.
func New(log platform.Log, stream platform.Stream, author record.MemberID) *Outbox {
	return &Outbox{log: log, stream: stream, author: author, wake: make(chan struct{}, 1)}
}

// Submit adds a record to those to be sent, in order.
func (o *Outbox) Submit(b record.Body) {
	o.mu.Lock()
	o.queue = append(o.queue, b)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of records not read back yet.
func (o *Outbox) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.queue)
	if o.current != nil {
		n++
	}
	return n
}

// ReadBack tells the outbox that a record was read in the stream. When it is
// the one being sent, it returns the time at which the record was made, and
// true.
func (o *Outbox) ReadBack(id string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current == nil || o.current.id != id {
		return time.Time{}, false
	}
	createdAt := o.current.createdAt
	close(o.current.done)
	o.current = nil
	return createdAt, true
}

// Run sends until ctx ends.
func (o *Outbox) Run(ctx context.Context) {
	for {
		next, err := o.next()
		if err != nil {
			continue
		}
		if next == nil {
			select {
			case <-o.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !o.sendUntilReadBack(ctx, next) {
			return
		}
	}
}

// next makes the first queued record the current one. A record that can't be
// encoded is dropped.
func (o *Outbox) next() (*pendingRecord, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return nil, nil
	}
	body := o.queue[0]
	o.queue = o.queue[1:]
	id := uuid.NewString()
	data, err := record.Encode(record.Envelope{ID: id, Author: o.author, Seq: o.seq + 1, Body: body})
	if err != nil {
		return nil, err
	}
	o.seq++
	o.current = &pendingRecord{id: id, createdAt: time.Now(), data: data, done: make(chan struct{})}
	return o.current, nil
}

func (o *Outbox) sendUntilReadBack(ctx context.Context, s *pendingRecord) bool {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	retry.MaxInterval = maxRetryDelay
	for {
		o.appendOnce(ctx, s)
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-s.done:
			timer.Stop()
			return true
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

func (o *Outbox) appendOnce(ctx context.Context, s *pendingRecord) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	go func() {
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	// The error tells nothing that reading back doesn't tell for certain.
	_ = o.log.Append(ctx, o.stream, s.data)
}
