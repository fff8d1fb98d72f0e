// Package relay transfers records between peers: a daemon that can't read the
// log gets the records that its peers have read.
//
// A record and its offset never change once they are in the log, so records from
// a peer are as good as those from the log. The package doesn't decode records.
package relay

import (
	"sync"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Limits on the records kept for peers, and on the bytes of one reply.
const (
	maxRecords    = 8192
	maxBytes      = 4 << 20
	maxReplyBytes = 256 << 10
)

// Buffer keeps the newest records, without gaps. It is safe for concurrent use,
// and its zero value is empty.
type Buffer struct {
	mu      sync.Mutex
	entries []platform.Entry
	bytes   int
}

// Add adds a record and evicts the oldest ones over the limits. A record that
// doesn't follow the newest one replaces all records.
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

// From returns records from an offset on, as many as fit in one reply. It returns
// false if the buffer is empty or no longer holds the record at the offset.
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
