// Package relay brings a daemon that can't read the log the records that its
// peers have read.
//
// A record and its offset never change once they are in the log, so it makes
// no difference from whom they come. The package knows nothing of what records
// mean.
package relay

import (
	"sync"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Bounds of the records that are kept for peers, and of one reply.
const (
	maxRecords    = 8192
	maxBytes      = 4 << 20
	maxReplyBytes = 256 << 10
)

// Buffer keeps the newest records. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	entries []platform.Entry
	bytes   int
}

// Add keeps a record. One that doesn't follow the newest replaces all others.
func (b *Buffer) Add(e platform.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.entries); n > 0 && b.entries[n-1].Offset+1 != e.Offset {
		b.entries, b.bytes = nil, 0
	}
	b.entries = append(b.entries, e)
	b.bytes += len(e.Data)
	for len(b.entries) > maxRecords || b.bytes > maxBytes && len(b.entries) > 1 {
		b.bytes -= len(b.entries[0].Data)
		b.entries = b.entries[1:]
	}
}

// From returns the first records from an offset on, as many as one reply may
// hold, and false when the record at the offset is no longer kept.
func (b *Buffer) From(at record.Offset) ([]platform.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) == 0 {
		return nil, false
	}
	first := b.entries[0].Offset
	if at < first {
		return nil, false
	}
	skip := min(int(at-first), len(b.entries))
	var found []platform.Entry
	size := 0
	for _, e := range b.entries[skip:] {
		size += len(e.Data)
		if len(found) > 0 && size > maxReplyBytes {
			break
		}
		found = append(found, e)
	}
	return found, true
}
