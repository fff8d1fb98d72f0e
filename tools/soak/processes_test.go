package main

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// Guards against faults that are meant for a pool's owner and always strike the first
// daemon: its name was looked for among the members' names.
func TestOwnerIsFoundByItsAddress(t *testing.T) {
	is := is.New(t)
	h := &harness{store: memstore.New(1), daemons: []*process{{name: "d-0", peersAddress: "127.0.0.1:10"}, {name: "d-1", peersAddress: "127.0.0.1:1"}}}
	client := h.store.Client()
	is.NoErr(client.Append(context.Background(), "keyed.units", 0, []store.Record{{Key: firstPool, Value: []byte("0")}}, nil))
	_, err := client.Join(context.Background(), store.Join{Group: ownership.Group, Member: "127.0.0.1:1#mx#1", Topics: []string{ownership.Topic}, TTL: time.Minute})
	is.NoErr(err)
	is.Equal(h.ownerOf(firstPool).name, "d-1")
}
