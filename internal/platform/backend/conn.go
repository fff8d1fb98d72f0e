package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/verdict"
)

var errSealed = errors.New("connection is sealed")

// guardedConn records whether a byte may have been sent since its current request
// began, and can be sealed, after which every write fails. An HTTP/1 connection
// carries one request at a time.
type guardedConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

func guardDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// Write implements net.Conn. It sets wrote before the first byte is sent.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *guardedConn) beginRequest() {
	c.mu.Lock()
	c.wrote = false
	c.mu.Unlock()
}

// seal makes all later writes fail. It reports whether there was one since the
// current request began.
func (c *guardedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// attempt records the connections that the transport uses for one request.
type attempt struct {
	mu    sync.Mutex
	conns []*guardedConn
	// unguarded is set if a connection isn't a guardedConn, so that it is unknown
	// whether a byte was sent.
	unguarded bool
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		a.unguarded = true
		return
	}
	conn.beginRequest()
	a.conns = append(a.conns, conn)
}

// abort seals and closes the request's connections. It reports whether a byte of
// the request may have been sent; after false, none will be sent.
func (a *attempt) abort() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := a.unguarded
	for _, conn := range a.conns {
		if conn.seal() {
			sent = true
		}
		_ = conn.Close()
	}
	return sent
}

// failure returns the error of a request that the transport failed with cause.
func (a *attempt) failure(ctx context.Context, cause error) *verdict.Error {
	v, detail := verdict.NotRun, "nothing was sent to the backend server"
	if a.abort() {
		v, detail = verdict.MayHaveRun, "no answer from the backend server"
	}
	return verdict.Wrap(cause, v, failureCode(ctx), detail)
}

func failureCode(ctx context.Context) verdict.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.CodeDeadline
	case ctx.Err() != nil:
		return verdict.CodeCancelled
	default:
		return verdict.CodeBackendLost
	}
}
