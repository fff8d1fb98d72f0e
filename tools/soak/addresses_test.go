package main

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against two soaks at once whose daemons bind the same addresses and receive each
// other's calls.
func TestBlocksInUseAreNotClaimed(t *testing.T) {
	is := is.New(t)
	first, err := claimBlock()
	is.NoErr(err)
	defer first.release()
	// Another soak starts with the same block, and some program has bound a port of the next
	// one that was free.
	next, err := claimBlock()
	is.NoErr(err)
	l, err := net.Listen("tcp", next.daemon(daemonCount - 1)["peers"])
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	next.release()
	nextBlock.Store(int64(first.number))
	second, err := claimBlock()
	is.NoErr(err)
	defer second.release()
	is.True(second.number != first.number)
	is.True(second.number != next.number)
}
