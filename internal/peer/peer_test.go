package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/record"
)

// slowRecords is a fake record server that answers after a delay.
type slowRecords struct{ delay time.Duration }

func (s slowRecords) Standing() LogPosition {
	time.Sleep(s.delay)
	return LogPosition{Next: 7}
}

func (s slowRecords) Records(record.Offset) (Records, error) { return Records{}, nil }

// dialInProcess returns a dial function that connects to a server in this process.
func dialInProcess(s *Server) DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go s.rpc.ServeConn(far)
		return near, nil
	}
}

// TestLateReplyIsDiscarded has a reply arrive after its call has ended. The race
// detector reports it if the caller reads the value that the late reply is written
// to.
func TestLateReplyIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewServer()
		is.NoErr(s.Register(RecordEndpoint, NewRecord(slowRecords{delay: 2 * time.Second})))
		c := NewClient(dialInProcess(s), time.Second)
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Standing(ctx, "peer")
		is.True(errors.Is(err, ErrLost))
		time.Sleep(2 * time.Second)
	})
}

func TestWriteToFrozenPeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewClient(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe() // far is never read
			t.Cleanup(func() { far.Close() })
			return near, nil
		}, time.Second)
		defer c.Close()
		start := time.Now()
		_, err := c.Standing(t.Context(), "peer")
		is.True(errors.Is(err, ErrLost))
		is.Equal(time.Since(start), writeTimeout)
	})
}
