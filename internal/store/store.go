// Package store defines the client interface to the platform's log, in which the
// daemons keep their state, and detects its outages. Its errors show whether a failed
// call may have had an effect. Package platform implements Log.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Record is one entry of a keyed topic. A nil Value deletes the key (tombstone).
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is one page of a listing of a partition's newest records.
type Page struct {
	Records []Record
	// After is the key from which the next page continues; empty on the last page.
	After string
	// End is the offset after the partition's last record.
	End int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset of the next read.
	Next int64
	// End is the offset after the partition's last record.
	End int64
}

// Sequence is the number of an append of one producer to one partition. The log
// refuses appends with a lower epoch than the highest that it has seen (fencing),
// and applies a repeated number once.
type Sequence struct {
	Producer string
	Epoch    int64
	Number   int64
}

// Claim is a partition that is assigned to a group member.
type Claim struct {
	Topic     string
	Partition int
}

// Membership is the result of a join.
type Membership struct {
	// Generation is the number of the group's current assignment.
	Generation int64
	Claims     []Claim
}

// Owner is the member to which a partition is assigned.
type Owner struct {
	Topic     string
	Partition int
	Member    string
}

// Join is a request to join a group, or a heartbeat of a member.
type Join struct {
	Group  string
	Member string
	// Topics are the topics whose partitions are assigned.
	Topics []string
	// TTL is how long the membership lasts without another join.
	TTL        time.Duration
	Generation int64
}

// Holding is the claim that a member holds a partition and has held it without a break since
// a generation.
type Holding struct {
	Group      string
	Member     string
	Topic      string
	Partition  int
	Generation int64
}

// Log is the platform's log. Its methods return one of the errors below, a
// SequenceError or the error of an answer that can't be decoded, possibly wrapped.
type Log interface {
	// Append adds records to a keyed topic, all or none. With a nil sequence it
	// appends without fencing; without records it only fences lower epochs.
	Append(ctx context.Context, topic string, partition int, records []Record, seq *Sequence) error
	// AppendAt adds records, all or none, if the partition's end is the given offset.
	AppendAt(ctx context.Context, topic string, partition int, records []Record, end int64) error
	// Read returns records from an offset on. It waits for the first one at most for
	// the given time.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Batch, error)
	// Newest lists the newest record of each key, page by page; after is the key from
	// the preceding page, or empty.
	Newest(ctx context.Context, topic string, partition int, after string) (Page, error)
	Join(ctx context.Context, join Join) (Membership, error)
	// Held returns nil if a holding is true, and ErrNotHeld if it isn't.
	Held(ctx context.Context, h Holding) error
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]Owner, error)
}

var (
	// ErrFenced means that the partition has had an append with a higher epoch.
	ErrFenced = errors.New("a newer epoch holds the partition")
	// ErrExpired means that the records from the offset are no longer kept.
	ErrExpired = errors.New("the records have expired")
	// ErrMoved means that the partition's end isn't the offset of the append.
	ErrMoved = errors.New("the partition does not end at the expected offset")
	// ErrNotHeld means that the member doesn't hold the partition, or hasn't held it without a
	// break.
	ErrNotHeld = errors.New("the member has not held the partition throughout")
	// ErrNotDone means that the call has had no effect and will have none.
	ErrNotDone = errors.New("the store refused the call")
	// ErrUnknown means that the call may have had an effect, or may still have one.
	ErrUnknown = errors.New("the store did not answer")
	// ErrFull means that the store has no free capacity.
	ErrFull = errors.New("the store is full")
)

// SequenceError means that an append had another sequence number than the store
// expects.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// ReadNewest returns the newest record of each key of a partition, and the offset
// from which to read on. The pages together aren't a snapshot, so the offset is the
// end of the first page: records that were added later are read again.
func ReadNewest(ctx context.Context, log Log, topic string, partition int) ([]Record, int64, error) {
	var all []Record
	from := int64(-1)
	after := ""
	for {
		page, err := log.Newest(ctx, topic, partition, after)
		if err != nil {
			return nil, 0, err
		}
		if from < 0 {
			from = page.End
		}
		all = append(all, page.Records...)
		if page.After <= after {
			// The last page, or one that doesn't lead on: a key that isn't text may be
			// returned as another one.
			return all, from, nil
		}
		after = page.After
	}
}
