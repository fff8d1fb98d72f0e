package matrix

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

var errFault = errors.New("injected fault")

// memoryLog is the platform's log with injectable faults.
type memoryLog struct {
	mu      sync.Mutex
	streams map[platform.Stream][][]byte
	changed chan struct{}
	calls   int
	// down refuses all calls. loseAppends drops every second append,
	// loseReplies applies it but returns an error, and doubleAppends applies
	// every append twice.
	down, loseAppends, loseReplies, doubleAppends bool
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[platform.Stream][][]byte{}, changed: make(chan struct{})}
}

// set changes the faults.
func (l *memoryLog) set(change func(l *memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// Append implements platform.Log. Every second call meets loseAppends or
// loseReplies.
func (l *memoryLog) Append(_ context.Context, s platform.Stream, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	meetsFault := l.calls%2 == 1
	if l.down || l.loseAppends && meetsFault {
		return errFault
	}
	l.streams[s] = append(l.streams[s], data)
	if l.doubleAppends {
		l.streams[s] = append(l.streams[s], data)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseReplies && meetsFault {
		return errFault
	}
	return nil
}

// Read implements platform.Log.
func (l *memoryLog) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		all, changed, down := l.streams[s], l.changed, l.down
		l.mu.Unlock()
		if down {
			return platform.Batch{}, errFault
		}
		if int(from) < len(all) {
			return batchOf(all, from, limit), nil
		}
		select {
		case <-changed:
		case <-deadline:
			return platform.Batch{Head: record.Offset(len(all))}, nil
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

func batchOf(all [][]byte, from record.Offset, limit int) platform.Batch {
	b := platform.Batch{Head: record.Offset(len(all))}
	for at := from; int(at) < len(all) && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, platform.Entry{Offset: at, Data: all[at]})
	}
	return b
}

// gate delays a node's calls while the node is frozen, and fails them once it
// is killed. Calls blocked by a freeze go out after the thaw.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{}
	// cutLog and cutPeers make the node's calls fail.
	cutLog, cutPeers bool
	killed           chan struct{}
}

func newGate() *gate {
	g := &gate{thawed: make(chan struct{}), killed: make(chan struct{})}
	close(g.thawed)
	return g
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.thawed = make(chan struct{})
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.thawed)
}

func (g *gate) cut(log, peers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutLog, g.cutPeers = log, peers
}

// awaitThaw blocks while the node is frozen. It returns false if the node is
// killed.
func (g *gate) awaitThaw() bool {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	select {
	case <-g.killed:
		return false
	default:
	}
	select {
	case <-thawed:
		return true
	case <-g.killed:
		return false
	}
}

// blocked reports whether the node's connections carry no data.
func (g *gate) blocked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.killed:
		return true
	default:
	}
	select {
	case <-g.thawed:
		return g.cutPeers
	default:
		return true
	}
}

func (g *gate) isLogCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutLog
}

// gatedLog is the log as seen from one node.
type gatedLog struct {
	*memoryLog
	gate *gate
}

// Append implements platform.Log.
func (l gatedLog) Append(ctx context.Context, s platform.Stream, data []byte) error {
	if !l.gate.awaitThaw() || l.gate.isLogCut() {
		return errFault
	}
	return l.memoryLog.Append(ctx, s, data)
}

// Read implements platform.Log.
func (l gatedLog) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if !l.gate.awaitThaw() || l.gate.isLogCut() {
		return platform.Batch{}, errFault
	}
	b, err := l.memoryLog.Read(ctx, s, from, limit, wait)
	if !l.gate.awaitThaw() || l.gate.isLogCut() {
		return platform.Batch{}, errFault
	}
	return b, err
}

// gatedBackends is the backend servers as seen from one node.
type gatedBackends struct {
	*limitsBackends
	gate *gate
}

// Run implements platform.Backends.
func (b gatedBackends) Run(ctx context.Context, addr string, t platform.Task) (platform.Answer, error) {
	if !b.gate.awaitThaw() {
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, "dead")
	}
	a, err := b.limitsBackends.Run(ctx, addr, t)
	if !b.gate.awaitThaw() {
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, "dead")
	}
	return a, err
}

// limitsNetwork is a network of in-memory connections.
type limitsNetwork struct {
	mu        sync.Mutex
	listeners map[string]*gatedListener
	conns     []net.Conn
}

// close closes all listeners and connections.
func (n *limitsNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
	for _, c := range n.conns {
		c.Close()
	}
}

func newLimitsNetwork() *limitsNetwork { return &limitsNetwork{listeners: map[string]*gatedListener{}} }

// listen opens a listener whose connections write through a gate.
func (n *limitsNetwork) listen(addr string, g *gate) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &gatedListener{addr: addr, gate: g, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *limitsNetwork) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[addr]
	near, far := net.Pipe()
	n.conns = append(n.conns, near, far)
	n.mu.Unlock()
	if !ok {
		return nil, errFault
	}
	select {
	case l.conns <- gatedConn{Conn: far, gate: l.gate}:
		return near, nil
	case <-l.closed:
		return nil, errFault
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// gatedConn is one node's end of a connection.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Write implements net.Conn. It fails instead of blocking while the node is
// frozen: writers hold locks, and in virtual time no goroutine may wait for a
// lock.
func (c gatedConn) Write(p []byte) (int, error) {
	if c.gate.blocked() {
		c.Close()
		return 0, errFault
	}
	return c.Conn.Write(p)
}

type gatedListener struct {
	addr   string
	gate   *gate
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *gatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *gatedListener) Addr() net.Addr { return l }

// Network implements net.Addr.
func (l *gatedListener) Network() string { return "pipe" }

// String implements net.Addr.
func (l *gatedListener) String() string { return l.addr }
