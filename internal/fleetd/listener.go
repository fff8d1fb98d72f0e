package fleetd

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/connlimit"
)

// acceptPause is the pause after a connection that couldn't be accepted, since the
// process has too many open or the caller has gone.
const acceptPause = 20 * time.Millisecond

// limitedListener accepts connections up to a limit, and closes others for new ones. Its
// Accept returns errors that end a server only.
type limitedListener struct {
	net.Listener
	table *connlimit.Table
	// activity makes the time of the last read decide, for servers that don't report which
	// connections are busy.
	activity bool
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.add(raw), nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptPause)
		default:
			return nil, err
		}
	}
}

func (l *limitedListener) add(raw net.Conn) net.Conn {
	c := &limitedConn{Conn: raw, table: l.table, activity: l.activity}
	var toClose connlimit.Conn
	c.entry, toClose = l.table.Add(c, time.Now())
	if l.activity {
		l.table.Idle(c.entry)
	}
	if toClose != nil {
		toClose.(*limitedConn).reset()
	}
	return c
}

// sweep closes the connections whose answers aren't read.
func (l *limitedListener) sweep(now time.Time) {
	for _, c := range l.table.Sweep(now) {
		c.(*limitedConn).reset()
	}
}

// limitedConn is a connection in a table.
type limitedConn struct {
	net.Conn
	table    *connlimit.Table
	entry    *connlimit.Entry
	activity bool
	// writeBegan is when the write in progress began, in Unix nanoseconds; 0 if none is.
	writeBegan atomic.Int64
}

// WriteBegan implements connlimit.Conn.
func (c *limitedConn) WriteBegan() time.Time {
	if began := c.writeBegan.Load(); began != 0 {
		return time.Unix(0, began)
	}
	return time.Time{}
}

// Read implements net.Conn.
func (c *limitedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.activity && n > 0 {
		c.table.Idle(c.entry)
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(data []byte) (int, error) {
	c.writeBegan.Store(time.Now().UnixNano())
	defer c.writeBegan.Store(0)
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.table.Remove(c.entry)
	return c.Conn.Close()
}

// CloseWrite ends the sending half, so that an http.Server can let the caller read the
// answer before it closes the connection.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// reset closes the connection and discards what hasn't been sent, which would otherwise
// stay in the kernel's memory until the other side reads it.
func (c *limitedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Conn.Close()
}

// trackState is a hook of http.Server that tells the table which connections are idle.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.table.Busy(c.entry)
	case http.StateIdle:
		c.table.Idle(c.entry)
	}
}

// limitBuffers bounds the kernel's buffers of the connections that a listener accepts.
// They inherit the options.
func limitBuffers(l net.Listener, size int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "buffers")
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size); err != nil {
				failure = err
			}
		}
	})
	if err != nil {
		failure = err
	}
	return errors.Wrap(failure, "buffers")
}
