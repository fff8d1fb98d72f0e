package fleetd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
)

// startCallers serves callers within limits that may change, and returns the address and
// the server's end.
func startCallers(t *testing.T, h http.Handler, limits *atomic.Pointer[catalog.Limits]) (*callerServer, string, chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := newCallerServer(h, listener, func() catalog.Limits { return *limits.Load() })
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	return s, listener.Addr().String(), ended
}

// exchange sends a request on a connection and returns the answer's status; 0 if the
// connection was closed instead.
func exchange(conn net.Conn, header string) int {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX: "+header+"\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// The operators' limits of headers and of idle connections must hold, from the next
// connection on: they were read from the configuration and never applied.
func TestCallersLimitsFollowTheConfiguration(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[catalog.Limits]
	limits.Store(&catalog.Limits{})
	s, address, ended := startCallers(t, http.NotFoundHandler(), &limits)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		return conn
	}
	long := strings.Repeat("x", 12_000) // within the default limit
	first := dial()
	is.Equal(exchange(first, long), http.StatusNotFound)

	limits.Store(&catalog.Limits{HeaderBytes: 2000, IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond})
	is.Equal(exchange(first, long), http.StatusNotFound) // an open connection is left as it is
	second := dial()
	is.Equal(exchange(second, "short"), http.StatusNotFound)
	time.Sleep(200 * time.Millisecond)
	is.Equal(exchange(second, "short"), 0) // it was idle for too long
	is.Equal(exchange(dial(), long), http.StatusRequestHeaderFieldsTooLarge)
	slow := dial()
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	is.True(exchange(slow, "short") != http.StatusNotFound) // its header took too long
	is.Equal(exchange(first, "short"), http.StatusNotFound)

	is.NoErr(s.shutdown(t.Context()))
	is.NoErr(<-ended)
}

// A stop must let running requests of all servers end, and take no new ones.
func TestCallersServerStopsGracefully(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[catalog.Limits]
	limits.Store(&catalog.Limits{})
	begun, release := make(chan struct{}, 2), make(chan struct{})
	s, address, ended := startCallers(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
	}), &limits)
	answers := make(chan int, 2)
	for _, l := range []catalog.Limits{{}, {HeaderBytes: 5000}} {
		limits.Store(&l)
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		go func() { answers <- exchange(conn, "x") }()
		<-begun
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.shutdown(context.Background()) }()
	is.NoErr(<-ended)
	_, err := net.Dial("tcp", address)
	is.True(err != nil)
	close(release)
	is.Equal(<-answers, http.StatusOK)
	is.Equal(<-answers, http.StatusOK)
	is.NoErr(<-stopped)
}
