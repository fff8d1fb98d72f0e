package fleetd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/catalog"
)

// connectionLimits are the limits of a connection. They are fixed for an http.Server, so
// each connection is served by the server of the limits that apply when it is accepted.
type connectionLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// callerServer serves callers' connections within the limits of the active
// configuration; a limit of 0 stands for the default. It is safe for concurrent use.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	// limits returns the limits of the active configuration.
	limits func() catalog.Limits

	mu      sync.Mutex
	servers map[connectionLimits]*limitedServer
	stopped bool
}

// limitedServer is the server of one set of limits.
type limitedServer struct {
	*http.Server
	accepted *acceptedConns
}

func newCallerServer(h http.Handler, l net.Listener, limits func() catalog.Limits) *callerServer {
	return &callerServer{handler: h, listener: l, limits: limits, servers: map[connectionLimits]*limitedServer{}}
}

// serve accepts connections until the listener is closed.
func (c *callerServer) serve() error {
	for {
		conn, err := c.listener.Accept()
		switch {
		case err == nil:
			c.assign(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return errors.Wrap(err, c.listener.Addr().String())
		}
	}
}

// assign passes a connection to the server of the present limits.
func (c *callerServer) assign(conn net.Conn) {
	limits := connectionLimits{headerBytes: maxHeaderBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
	configured := c.limits()
	if configured.HeaderBytes > 0 {
		limits.headerBytes = configured.HeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.headerTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.idleTimeout = configured.IdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		_ = conn.Close()
		return
	}
	s := c.servers[limits]
	if s == nil {
		s = &limitedServer{
			Server: &http.Server{
				Handler: c.handler, MaxHeaderBytes: limits.headerBytes, ReadHeaderTimeout: limits.headerTimeout, IdleTimeout: limits.idleTimeout,
				ConnState: trackState,
			},
			accepted: &acceptedConns{address: c.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})},
		}
		c.servers[limits] = s
		go func() { _ = s.Serve(s.accepted) }() // ends with the shutdown alone
	}
	s.accepted.pass(conn)
}

// shutdown stops accepting and waits for the running requests, until the context ends.
func (c *callerServer) shutdown(ctx context.Context) error {
	_ = c.listener.Close()
	c.mu.Lock()
	c.stopped = true
	results := make(chan error, len(c.servers))
	for _, s := range c.servers {
		go func() { results <- s.Shutdown(ctx) }()
	}
	c.mu.Unlock()
	var failure error
	for range cap(results) {
		if err := <-results; err != nil {
			failure = err
		}
	}
	return failure
}

// acceptedConns is a listener of connections that were accepted elsewhere.
type acceptedConns struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// pass hands over a connection. It is closed if the listener is.
func (l *acceptedConns) pass(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *acceptedConns) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *acceptedConns) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *acceptedConns) Addr() net.Addr { return l.address }
