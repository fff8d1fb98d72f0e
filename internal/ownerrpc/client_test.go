package ownerrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// appender appends the records of each peer alone.
type appender struct{ log store.Log }

func (a appender) AppendForPeer(ctx context.Context, unit int, records []store.Record) error {
	return a.log.Append(ctx, ownership.Topic, unit, records, nil)
}

type noUnits struct{}

func (noUnits) Unit(int) *owner.Unit { return nil }

// All requests of a daemon share one connection to each owner. An error of one
// request's method, or a caller that went away, closed it under the others, which
// then had no answer.
func TestOneCallsFailureLeavesTheConnectionToOthers(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client := memstore.New(1).Client()
	slow := make(chan struct{})
	client.SetFault(func(call string) memstore.Fault {
		<-slow
		return memstore.LoseAnswer
	})
	log := store.Direct(store.Watch(client, bootclock.System))
	services := Services{Units: noUnits{}, Log: log, Appender: appender{log}, MembersChanged: func() {}}
	go func() { _ = Serve(listener, services, zap.NewNop()) }()
	c := NewClient()
	address := listener.Addr().String()
	ctx := context.Background()
	_, err = c.Away(ctx, address)
	is.NoErr(err)
	shared := c.conns[address]

	gone, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = c.Store(gone, address, StoreRequest{Timeout: time.Second})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(c.conns[address], shared) // a caller that gave up

	close(slow)
	_, err = c.Store(ctx, address, StoreRequest{Timeout: time.Second})
	is.True(err != nil)
	is.Equal(c.conns[address], shared) // an error of the method
}
