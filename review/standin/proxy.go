package standin

import (
	"net"
	"sync"
)

// Proxy passes connections on to a server. While it is cut, nothing passes: open
// connections are silent, and new ones are accepted but hear nothing. What was open or
// opened during a cut is closed when the cut ends, and what was held up is lost.
type Proxy struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	gate     chan struct{}
	conns    map[net.Conn]bool
}

// NewProxy returns a proxy on a free port in front of a target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", FreeAddress())
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *Proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[conn] = true
		cut := p.cut
		p.mu.Unlock()
		if !cut {
			go p.pass(conn)
		}
	}
}

func (p *Proxy) pass(conn net.Conn) {
	defer p.drop(conn)
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[out] = true
	p.mu.Unlock()
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go func() { p.copy(out, conn); done <- struct{}{} }()
	go func() { p.copy(conn, out); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// copy passes bytes on. During a cut it holds them until the connections are closed.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		gate := p.gate
		p.mu.Unlock()
		if gate != nil {
			<-gate
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// Cut begins a cut.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.gate = true, make(chan struct{})
}

// Heal ends the cut.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
	close(p.gate)
	p.cut, p.gate = false, nil
}
