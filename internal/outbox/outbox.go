// Package outbox appends a member's records to a stream of the log, one at a
// time, and retries each until it has been read back.
//
// The log's reply to an append is ignored: a record counts as appended only once
// its author has read it in the stream. Until then the same bytes are sent again,
// and the fold ignores duplicates by their sequence number.
package outbox

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Timeout of one append, and the delays before it is retried. The first delay
// leaves time to read the record back.
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
	logger *zap.Logger

	mu      sync.Mutex
	seq     uint64
	queue   []record.Body
	current *pendingRecord
	wake    chan struct{}
}

// pendingRecord is the record being sent. done is closed once it is read back.
type pendingRecord struct {
	id        string
	createdAt time.Time
	data      []byte
	done      chan struct{}
}

// New returns an outbox for the records of author.
func New(log platform.Log, stream platform.Stream, author record.MemberID, logger *zap.Logger) *Outbox {
	return &Outbox{log: log, stream: stream, author: author, logger: logger, wake: make(chan struct{}, 1)}
}

// Submit queues a record. Records are sent in the order of submission.
func (o *Outbox) Submit(b record.Body) {
	o.mu.Lock()
	o.queue = append(o.queue, b)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of records that have not been read back.
func (o *Outbox) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := len(o.queue)
	if o.current != nil {
		n++
	}
	return n
}

// ReadBack must be called with the ID of each record that is read in the stream.
// If it is the record being sent, ReadBack returns its time of creation and true,
// and the next record is sent.
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

// Run sends records until ctx ends.
func (o *Outbox) Run(ctx context.Context) {
	for {
		next, err := o.next()
		if err != nil {
			o.logger.Error("control.record_dropped", zap.Error(err))
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

// next encodes the first queued record and makes it the current one. It returns
// nil if the queue is empty, and an error if the record can't be encoded: the
// record is then dropped.
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

// sendUntilReadBack appends a record repeatedly, with backoff, until it is read
// back. It returns false if ctx ends first.
func (o *Outbox) sendUntilReadBack(ctx context.Context, p *pendingRecord) bool {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	retry.MaxInterval = maxRetryDelay
	for {
		o.appendOnce(ctx, p)
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-p.done:
			timer.Stop()
			return true
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// appendOnce sends one append. It returns early if the record is read back.
func (o *Outbox) appendOnce(ctx context.Context, p *pendingRecord) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	// The error is ignored: only reading back shows whether the record was
	// appended.
	_ = o.log.Append(ctx, o.stream, p.data)
}
