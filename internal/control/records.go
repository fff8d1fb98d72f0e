package control

import (
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// Standing implements peer.RecordServer.
func (l *Loop) Standing() peer.LogPosition {
	// The age is read before the view: the view then holds at least every record
	// that the age covers.
	age := l.freshness.age(time.Now())
	v := l.View()
	return peer.LogPosition{Member: v.Self, Next: v.Next, Age: age}
}

// Records implements peer.RecordServer.
func (l *Loop) Records(from record.Offset) (peer.Records, error) {
	entries, ok := l.recent.From(from)
	if ok {
		return peer.Records{Entries: entries}, nil
	}
	v := l.View()
	if from >= v.Next {
		return peer.Records{}, nil
	}
	data, err := v.Checkpoint()
	return peer.Records{Checkpoint: data}, err
}

// peerAddresses returns the peer addresses of the other members and of the
// daemons that the directory lists; a daemon without state has only the latter.
// The result is sorted, without duplicates and without this daemon's address.
func (l *Loop) peerAddresses() []string {
	v := l.View()
	var addrs []string
	for _, m := range v.Members.All() {
		addrs = append(addrs, m.PeerAddr)
	}
	if l.opts.ListedPeers != nil {
		addrs = append(addrs, l.opts.ListedPeers()...)
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	return slices.DeleteFunc(addrs, func(addr string) bool {
		return addr == "" || addr == l.opts.Identity.PeerAddr
	})
}
