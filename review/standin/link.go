package standin

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Link passes connections on to a server like a network path between two machines. While
// it is cut, nothing passes. What a sender has written by then, or writes during the cut,
// is held up and arrives after the cut, also if the sender has closed the connection
// since; it is lost if the sender has reset it. As with TCP, what is held up is sent again
// after times that double, so it arrives with the first of these times after the cut.
type Link struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	gate     chan struct{}
}

// NewLink returns a link on a free port to a target.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", FreeAddress())
	if err != nil {
		return nil, err
	}
	k := &Link{Address: l.Addr().String(), target: target, listener: l}
	go k.serve()
	return k, nil
}

// Cut begins a cut, Heal ends it.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gate == nil {
		k.gate = make(chan struct{})
	}
}

// Heal ends the cut.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gate != nil {
		close(k.gate)
		k.gate = nil
	}
}

// firstRetry is the time after which what wasn't received is sent again for the first time.
const firstRetry = 200 * time.Millisecond

// wait waits until the link isn't cut, and what is sent now is sent again.
func (k *Link) wait() {
	begin := time.Now()
	for next := firstRetry; ; next *= 2 {
		k.mu.Lock()
		cut := k.gate != nil
		k.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(next - time.Since(begin))
		begin = begin.Add(next)
	}
}

func (k *Link) serve() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.pass(conn)
	}
}

// pass connects to the target and copies both ways until the target has answered all
// that the sender sent.
func (k *Link) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	chunks := make(chan []byte, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := conn.Read(buffer)
			if n > 0 {
				chunks <- buffer[:n]
			}
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			if err != nil {
				return
			}
		}
	}()
	k.wait()
	out, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		defer func() { _ = out.(*net.TCPConn).CloseWrite() }()
		for chunk := range chunks {
			k.wait()
			select {
			case <-reset:
				return
			default:
			}
			if _, err := out.Write(chunk); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := out.Read(buffer)
		k.wait()
		if n > 0 {
			// The sender may have closed the connection; what it sent still counts.
			_, _ = conn.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}
