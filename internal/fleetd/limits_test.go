package fleetd

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/connlimit"
)

// The listeners together must leave descriptors for connections to instances and peers,
// and the buffers of callers' connections must stay within their share of the memory.
func TestConnectionLimitsLeaveRoom(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{minDescriptors, defaultMaxDescriptors, 100_000} {
		for _, memory := range []int{96, 184, 284, 4000} {
			s := Settings{MaxDescriptors: descriptors, MemoryMB: memory}
			l := s.connectionLimit()
			is.True(l.callers+l.peers+2*l.other <= (descriptors-fileDescriptors)*4/5)
			is.True(float64(l.callers*connectionBytes) <= connectionShare*float64(s.memory()))
		}
	}
}

// startLimited serves a listener of at most a number of connections.
func startLimited(t *testing.T, limit int, h http.Handler) (*limitedListener, func() net.Conn) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(limitBuffers(raw, bufferBytes))
	l := &limitedListener{Listener: raw, table: connlimit.New(limit)}
	s := &http.Server{Handler: h, ConnState: trackState}
	go func() { _ = s.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = s.Close() })
	return l, func() net.Conn {
		conn, err := net.Dial("tcp", raw.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// A connection with a request must outlive idle ones when a listener is full, and closed
// connections must make room.
func TestFullListenerClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	l, dial := startLimited(t, 3, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X") == "wait" {
			begun <- struct{}{}
			<-release
		}
	}))
	busy, idle := dial(), dial()
	answer := make(chan int, 1)
	go func() { answer <- exchange(busy, "wait") }()
	<-begun
	// The server reports a connection idle only after its answer has arrived.
	answered := func(conn net.Conn) {
		is.Equal(exchange(conn, "short"), http.StatusOK)
		for l.table.Stats().Busy > 1 {
			time.Sleep(time.Millisecond)
		}
	}
	answered(idle)
	for range 10 {
		answered(dial())
	}
	is.Equal(exchange(idle, "short"), 0) // closed for a new one
	close(release)
	is.Equal(<-answer, http.StatusOK)
	stats := l.table.Stats()
	is.Equal(stats.ClosedBusy, int64(0))
	is.True(stats.Open <= 3)
}

// A connection whose answer isn't read must be reset, so that its request ends and the
// kernel drops what hasn't been sent.
func TestUnreadAnswerEnds(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	l, dial := startLimited(t, 3, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data := make([]byte, 64<<10)
		for {
			if _, err := w.Write(data); err != nil {
				ended <- err
				return
			}
		}
	}))
	conn := dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	for l.table.Stats().Unread == 0 {
		time.Sleep(10 * time.Millisecond)
		l.sweep(time.Now().Add(2 * connlimit.MaxWrite)) // as if the write had begun long ago
	}
	is.True(<-ended != nil)
	is.Equal(l.table.Stats().Open, 0)
	_, err = io.Copy(io.Discard, conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
