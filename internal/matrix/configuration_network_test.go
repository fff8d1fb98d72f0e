package matrix

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errCut = errors.New("network connection is cut")

// configurationNetwork connects processes by in-memory pipes. Addresses are
// "node:port".
type configurationNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// isolated nodes can't reach other nodes, nor be reached by them.
	isolated map[string]bool
	conns    map[net.Conn]connEnds
}

type connEnds struct {
	from, to     string
	betweenPeers bool
}

func newConfigurationNetwork() *configurationNetwork {
	return &configurationNetwork{
		listeners: map[string]*pipeListener{},
		isolated:  map[string]bool{},
		conns:     map[net.Conn]connEnds{},
	}
}

type pipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *configurationNetwork) listen(addr string) *pipeListener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.listeners[addr]; old != nil {
		old.Close()
	}
	n.listeners[addr] = l
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// dial connects a node to an address. Isolation cuts only connections made with
// toPeers.
func (n *configurationNetwork) dial(ctx context.Context, from, addr string, toPeers bool) (net.Conn, error) {
	to, _, _ := net.SplitHostPort(addr)
	n.mu.Lock()
	l := n.listeners[addr]
	cut := toPeers && (n.isolated[from] || n.isolated[to])
	n.mu.Unlock()
	if l == nil || cut {
		return nil, errCut
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errCut
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[near] = connEnds{from, to, toPeers}
	n.mu.Unlock()
	return near, nil
}

// isolate cuts a node from all others, or reconnects it.
func (n *configurationNetwork) isolate(node string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[node] = isolated
	n.closeConns(func(e connEnds) bool { return e.betweenPeers && (e.from == node || e.to == node) })
}

// removeProcess closes all listeners and connections of a process, as a crash
// does.
func (n *configurationNetwork) removeProcess(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, l := range n.listeners {
		if host, _, _ := net.SplitHostPort(addr); host == node {
			l.Close()
			delete(n.listeners, addr)
		}
	}
	n.closeConns(func(e connEnds) bool { return e.from == node || e.to == node })
}

// closeConns closes the matching connections. The caller holds mu.
func (n *configurationNetwork) closeConns(match func(connEnds) bool) {
	for conn, e := range n.conns {
		if match(e) {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

func (n *configurationNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
}
