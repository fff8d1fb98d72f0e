// Package peer implements the calls between daemons: net/rpc over mutual TLS, or
// over plain TCP on loopback.
//
// It only transports typed messages. Each endpoint has a file of its own and is
// backed by an interface that the daemon implements.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrUnreachable is returned if there is no connection to a peer: nothing was
// sent.
var ErrUnreachable = errors.New("peer is unreachable")

// ErrLost is returned if a call may have been sent and no reply was received: its
// effect is unknown.
var ErrLost = errors.New("no reply from peer")

// writeTimeout is the timeout for writing one message.
const writeTimeout = 2 * time.Second

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client calls peers. It keeps one connection to each, and is safe for
// concurrent use.
type Client struct {
	dial        DialFunc
	dialTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*connection
}

// connection is the connection to one peer. ready is closed once dialling has
// ended; the other fields are set before that.
type connection struct {
	ready chan struct{}
	rpc   *rpc.Client
	conn  *watchedConn
	err   error
}

// watchedConn records that its peer has closed it or that it has failed, so that
// no further call is started on it.
type watchedConn struct {
	net.Conn
	broken atomic.Bool
}

// Write implements net.Conn. It fails after writeTimeout if the peer reads
// nothing, for example because its process is frozen, so that later calls on the
// connection don't hang.
func (w *watchedConn) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// Read implements net.Conn.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if err != nil {
		w.broken.Store(true)
	}
	return n, err
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial DialFunc, dialTimeout time.Duration) *Client {
	return &Client{dial: dial, dialTimeout: dialTimeout, conns: map[string]*connection{}}
}

// call calls a method of a peer and returns its reply. It returns ErrUnreachable
// or ErrLost, wrapped, if there is no reply, and rpc.ServerError if the method
// failed. A reply that is received after ctx has ended is written to a value that
// nothing else reads.
func call[T any](ctx context.Context, c *Client, addr, method string, args any) (T, error) {
	reply := new(T)
	if err := c.call(ctx, addr, method, args, reply); err != nil {
		var zero T
		return zero, err
	}
	return *reply, nil
}

func (c *Client) call(ctx context.Context, addr, method string, args, reply any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errors.Wrapf(ErrLost, "%s: %v", addr, ctx.Err())
	}
	var server rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case errors.As(call.Error, &server):
		return call.Error
	}
	// rpc.ErrShutdown doesn't show that nothing was sent: calls in progress fail
	// with it too if the connection is closed on this side.
	c.drop(addr, conn)
	return errors.Wrapf(ErrLost, "%s: %v", addr, call.Error)
}

// Close closes all connections. Connections that are being dialled are closed once
// they are open.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		delete(c.conns, addr)
		go closeWhenReady(conn)
	}
}

func closeWhenReady(conn *connection) {
	<-conn.ready
	if conn.rpc != nil {
		conn.rpc.Close()
	}
}

// connect returns the connection to addr once it is open. It opens a new one if
// there is none or if the existing one is broken.
func (c *Client) connect(ctx context.Context, addr string) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.conns[addr]
	if !ok || conn.isBroken() {
		conn = &connection{ready: make(chan struct{})}
		c.conns[addr] = conn
		go c.open(addr, conn)
	}
	c.mu.Unlock()
	select {
	case <-conn.ready:
		return conn, conn.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (conn *connection) isBroken() bool {
	select {
	case <-conn.ready:
		return conn.conn != nil && conn.conn.broken.Load()
	default:
		return false
	}
}

// open dials addr and closes conn.ready. The dial doesn't end with the context of
// the call that started it, since other calls wait for the same connection.
func (c *Client) open(addr string, conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), c.dialTimeout)
	defer cancel()
	netConn, err := c.dial(ctx, addr)
	if err != nil {
		conn.err = err
		c.drop(addr, conn)
	} else {
		conn.conn = &watchedConn{Conn: netConn}
		conn.rpc = rpc.NewClient(conn.conn)
	}
	close(conn.ready)
}

// drop closes a connection, so that the next call opens a new one.
func (c *Client) drop(addr string, conn *connection) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	if conn.rpc != nil {
		conn.rpc.Close()
	}
}

// Server serves endpoints to peers.
type Server struct {
	rpc *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without endpoints.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
}

// Register adds an endpoint under a service name.
func (s *Server) Register(name string, endpoint any) error {
	return errors.Wrap(s.rpc.RegisterName(name, endpoint), "register endpoint")
}

// Serve accepts connections until the listener fails, and returns that error. It
// returns nil if a connection is accepted after the server was closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		if !s.track(conn) {
			conn.Close()
			return nil
		}
		go func() {
			s.rpc.ServeConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// track adds a connection to those that Close closes. It returns false if the
// server is already closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close closes all connections, but not the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
