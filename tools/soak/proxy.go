package main

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

// String returns the mode as part of a fault's name.
func (m mode) String() string {
	return [...]string{"normal", "slow", "silent", "cut one way", "reset"}[m]
}

// The modes.
const (
	// pass forwards data unchanged.
	pass mode = iota
	// slow delays each chunk of data by slowDelay.
	slow
	// silent holds the data of both directions back, without a reset.
	silent
	// oneWay holds only the answers back.
	oneWay
	// reset closes all connections, and new ones at once.
	reset
)

const (
	slowDelay = 120 * time.Millisecond
	// holdPollInterval is how often a connection that holds data back checks
	// whether it may forward them.
	holdPollInterval = 20 * time.Millisecond
)

// proxy forwards connections to a target on the loopback, with the faults of its
// mode. Its methods may be called concurrently.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	// cutMode, unless it is pass, takes the place of mode.
	cutMode mode
	// isolated takes the place of both: it is silent.
	isolated bool
	// conns holds the open connections; those that are stranded have the value false.
	conns map[net.Conn]bool
	// darkUntil is until when new connections get no answer; they are closed then.
	darkUntil time.Time
	// affected counts by mode the connections and chunks of data that it concerned.
	affected map[mode]int
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}, affected: map[mode]int{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effective()
}

// effective returns the mode in force. The caller holds p.mu.
func (p *proxy) effective() mode {
	if p.isolated {
		return silent
	}
	if p.cutMode != pass {
		return p.cutMode
	}
	return p.mode
}

// cutOff reports whether a cut takes the place of the mode that is set.
func (p *proxy) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated || p.cutMode != pass
}

// affectedBy returns how often a mode concerned a connection or data.
func (p *proxy) affectedBy(m mode) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.affected[m]
}

func (p *proxy) countAffected(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.affected[m]++
}

// set changes the mode.
func (p *proxy) set(m mode) { p.change(func() { p.mode = m }) }

// cut puts another mode in place of the one that is set, until it is pass.
func (p *proxy) cut(m mode) { p.change(func() { p.cutMode = m }) }

// isolate makes the proxy silent, whatever else is set, or ends that.
func (p *proxy) isolate(on bool) { p.change(func() { p.isolated = on }) }

// change changes a mode. It closes the connections that held data back, so that these
// data are lost.
func (p *proxy) change(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.effective()
	do()
	after := p.effective()
	if after != reset && (before == after || before != silent && before != oneWay) {
		return
	}
	for c := range p.conns {
		_ = c.Close()
		if after == reset {
			p.affected[after]++
		}
	}
}

// strand ends the target's part in all open connections: they get no answer any more, and
// after a time those are closed that send something, as by a target that restarts in
// silence. Connections that are opened before that time get no answer either.
func (p *proxy) strand(dark time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.darkUntil = time.Now().Add(dark)
	for c := range p.conns {
		p.conns[c] = false
	}
}

// stranded reports whether a connection is.
func (p *proxy) stranded(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	passes, open := p.conns[c]
	return open && !passes
}

// passes reports whether a connection is open and not stranded.
func (p *proxy) passes(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// dark returns for how much longer the target is silent.
func (p *proxy) dark() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.darkUntil)
}

// setIfPassing sets a mode unless another one is set.
func (p *proxy) setIfPassing(m mode) {
	p.mu.Lock()
	passes := p.mode == pass
	p.mu.Unlock()
	if passes {
		p.set(m)
	}
}

// unset ends a mode, unless another one has replaced it.
func (p *proxy) unset(m mode) {
	p.mu.Lock()
	inForce := p.mode == m
	p.mu.Unlock()
	if inForce {
		p.set(pass)
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.currentMode() == reset {
		p.countAffected(reset)
		return
	}
	if dark := p.dark(); dark > 0 {
		time.Sleep(dark)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.track(client, true)
	p.track(server, true)
	defer p.track(client, false)
	defer p.track(server, false)
	sent, answered := make(chan struct{}), make(chan struct{})
	go p.forward(server, client, func(m mode) bool {
		return m == silent || p.stranded(client) && p.dark() > 0
	}, sent)
	go p.forward(client, server, func(m mode) bool {
		return m == silent || m == oneWay || p.stranded(server)
	}, answered)
	select {
	case <-sent:
	case <-answered:
		// A stranded caller isn't told that the target has closed the connection.
		if p.stranded(client) {
			<-sent
		}
	}
}

// track adds or removes an open connection, for set to close.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// forward copies data from one connection to another, and waits while the mode
// holds that direction back. What waits as the connection is stranded is lost.
func (p *proxy) forward(to, from net.Conn, held func(mode) bool, done chan<- struct{}) {
	defer close(done)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m := p.currentMode()
		if m == slow || held(m) {
			p.countAffected(m)
		}
		if m == slow {
			time.Sleep(slowDelay)
		}
		for held(p.currentMode()) {
			time.Sleep(holdPollInterval)
		}
		if !p.passes(from) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
