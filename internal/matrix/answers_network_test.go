package matrix

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// answersNetwork connects hosts by in-memory pipes, so that real servers run in
// virtual time. Hosts can be taken down, stalled, or cut from one another.
type answersNetwork struct {
	mu        sync.Mutex
	listeners map[string]*linkListener
	links     map[*link]struct{}
	down      map[string]bool
	stalls    map[string]chan struct{}
	cuts      map[[2]string]bool
	closed    bool
	// observer is called before each dial (without data) and each write.
	observer func(from, to string, data []byte)
}

func newAnswersNetwork() *answersNetwork {
	return &answersNetwork{
		listeners: map[string]*linkListener{},
		links:     map[*link]struct{}{},
		down:      map[string]bool{},
		stalls:    map[string]chan struct{}{},
		cuts:      map[[2]string]bool{},
	}
}

var errRefused = errors.New("connection refused")

func hostOf(addr string) string {
	host, _, _ := strings.Cut(addr, ":")
	return host
}

func (n *answersNetwork) listen(addr string) net.Listener {
	l := &linkListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[addr] = l
	n.mu.Unlock()
	return l
}

func (n *answersNetwork) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	to := hostOf(addr)
	n.notifyObserver(from, to, nil)
	if err := n.awaitPath(ctx.Done(), from, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l, ok := n.listeners[addr]
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	nearEnd, farEnd := net.Pipe()
	near, far := newLink(n, nearEnd, from, to), newLink(n, farEnd, to, from)
	if !n.add(near, far) {
		return nil, errRefused
	}
	select {
	case l.conns <- far:
	case <-l.closed:
		near.sever()
		far.sever()
		return nil, errRefused
	case <-ctx.Done():
		near.sever()
		far.sever()
		return nil, ctx.Err()
	}
	return near, nil
}

// add registers links, so that close ends them. It returns false and severs all
// links if the network is already closed.
func (n *answersNetwork) add(links ...*link) bool {
	n.mu.Lock()
	closed := n.closed
	for _, l := range links {
		n.links[l] = struct{}{}
	}
	n.mu.Unlock()
	if closed {
		n.severLinks(func(*link) bool { return true })
	}
	return !closed
}

func (n *answersNetwork) notifyObserver(from, to string, data []byte) {
	n.mu.Lock()
	observer := n.observer
	n.mu.Unlock()
	if observer != nil {
		observer(from, to, data)
	}
}

// awaitPath blocks while either host is stalled. It fails if one of them is
// down, if they are cut from one another, or once done is closed.
func (n *answersNetwork) awaitPath(done <-chan struct{}, from, to string) error {
	for {
		n.mu.Lock()
		unreachable := n.down[from] || n.down[to] || n.cuts[[2]string{from, to}] || n.cuts[[2]string{to, from}]
		stall := n.stalls[from]
		if stall == nil {
			stall = n.stalls[to]
		}
		n.mu.Unlock()
		switch {
		case unreachable:
			return errRefused
		case stall == nil:
			return nil
		}
		select {
		case <-stall:
		case <-done:
			return errRefused
		}
	}
}

// takeDown ends a host: all its connections break and no new one is opened.
func (n *answersNetwork) takeDown(host string) {
	n.mu.Lock()
	n.down[host] = true
	n.mu.Unlock()
	n.severLinks(func(l *link) bool { return l.from == host || l.to == host })
}

// cut separates two hosts for d.
func (n *answersNetwork) cut(a, b string, d time.Duration) {
	pair := [2]string{a, b}
	n.mu.Lock()
	n.cuts[pair] = true
	n.mu.Unlock()
	n.severLinks(func(l *link) bool { return l.from == a && l.to == b || l.from == b && l.to == a })
	time.AfterFunc(d, func() {
		n.mu.Lock()
		delete(n.cuts, pair)
		n.mu.Unlock()
	})
}

// stall holds back all traffic of a host for d, as a frozen process does.
func (n *answersNetwork) stall(host string, d time.Duration) {
	ended := make(chan struct{})
	n.mu.Lock()
	n.stalls[host] = ended
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		delete(n.stalls, host)
		n.mu.Unlock()
		close(ended)
	})
}

// close ends all listeners and connections.
func (n *answersNetwork) close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.listeners {
		l.Close()
	}
	n.mu.Unlock()
	n.severLinks(func(*link) bool { return true })
}

func (n *answersNetwork) severLinks(match func(*link) bool) {
	n.mu.Lock()
	var matching []*link
	for l := range n.links {
		if match(l) {
			matching = append(matching, l)
		}
	}
	n.mu.Unlock()
	for _, l := range matching {
		l.sever()
	}
}

// link is one end of a connection. Write returns at once, as a write to a
// socket's buffer does; pump delivers the data while neither host is stalled.
type link struct {
	net.Conn
	network  *answersNetwork
	from, to string
	severed  chan struct{}
	wake     chan struct{}

	mu        sync.Mutex
	queue     [][]byte
	closing   bool
	isSevered bool
}

func newLink(n *answersNetwork, conn net.Conn, from, to string) *link {
	l := &link{Conn: conn, network: n, from: from, to: to, severed: make(chan struct{}), wake: make(chan struct{}, 1)}
	go l.pump()
	return l
}

func (l *link) Write(p []byte) (int, error) {
	l.network.notifyObserver(l.from, l.to, p)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || l.isSevered {
		return 0, net.ErrClosed
	}
	l.queue = append(l.queue, bytes.Clone(p))
	l.wakePump()
	return len(p), nil
}

func (l *link) wakePump() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) pump() {
	for {
		data, more := l.next()
		if !more {
			l.sever()
			return
		}
		if data == nil {
			select {
			case <-l.wake:
				continue
			case <-l.severed:
				return
			}
		}
		if l.network.awaitPath(l.severed, l.from, l.to) != nil {
			l.sever()
			return
		}
		if _, err := l.Conn.Write(data); err != nil {
			l.sever()
			return
		}
	}
}

func (l *link) next() ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil, !l.closing
	}
	data := l.queue[0]
	l.queue = l.queue[1:]
	return data, true
}

// Close ends the connection after all written data is delivered.
func (l *link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	l.wakePump()
	return l.Conn.SetReadDeadline(time.Unix(1, 0))
}

// sever ends the connection at once.
func (l *link) sever() {
	l.mu.Lock()
	first := !l.isSevered
	l.isSevered = true
	l.mu.Unlock()
	if !first {
		return
	}
	close(l.severed)
	l.network.mu.Lock()
	delete(l.network.links, l)
	l.network.mu.Unlock()
	l.Conn.Close()
}

type linkListener struct {
	addr   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *linkListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *linkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *linkListener) Addr() net.Addr { return linkAddr(l.addr) }

type linkAddr string

func (a linkAddr) Network() string { return "pipe" }
func (a linkAddr) String() string  { return string(a) }
