// Package meter counts the bytes of the daemon's control connections, so that
// operators can compare them with a node's bandwidth budget.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of one kind of connections. It is safe for concurrent
// use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received.
func (c *Counter) In() int64 { return c.in.Load() }

// Out returns the bytes sent.
func (c *Counter) Out() int64 { return c.out.Load() }

// Conn wraps a connection so that its bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial wraps a dial function so that its connections are counted.
func (c *Counter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

// Listener wraps a listener so that its connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
