package callerload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// connectionCount is more than the descriptors of the daemons in these tests.
const connectionCount = 600

// Headers that never end must not take all descriptors.
func TestHeadersThatNeverEnd(t *testing.T) {
	d := startDaemon(t, 96, 400)
	d.load(connectionCount, func(_ int, conn net.Conn) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Filler: %s", keyedPath, queueHost, strings.Repeat("h", 14<<10))
		for range 5 {
			if _, err := io.WriteString(conn, "h"); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	})
	d.check()
}

// Answers that are never read must not fill the kernel's buffers, which count towards the
// process's memory.
func TestAnswersThatAreNeverRead(t *testing.T) {
	d := startDaemon(t, 96, 4100)
	request := fmt.Sprintf("GET /nowhere/%s HTTP/1.1\r\nHost: %s\r\n\r\n", strings.Repeat("p", 20), queueHost)
	pipeline := strings.Repeat(request, 20_000)
	d.load(connectionCount, func(_ int, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		_, _ = io.WriteString(conn, pipeline)
	})
	d.check()
}

// Connections that are open and idle, to any listener, must not take all descriptors.
func TestIdleConnections(t *testing.T) {
	d := startDaemon(t, 96, 400)
	for _, address := range []string{d.settings.Callers, d.settings.Readiness, d.settings.Peers, d.settings.Operations} {
		for range connectionCount {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				continue // the daemon takes no more connections
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}
	time.Sleep(time.Second)
	d.ordinary("readiness", func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+d.settings.Readiness+"/readyz", nil)
	})
	d.ordinary("metrics", func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+d.settings.Operations+"/metrics", nil)
	})
	d.check()
}

// Connections that are idle after an answer must not take all descriptors.
func TestIdleConnectionsAfterAnAnswer(t *testing.T) {
	d := startDaemon(t, 96, 400)
	d.load(connectionCount, func(_ int, conn net.Conn) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n\r\n", keyedPath, queueHost, key(0))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Read(make([]byte, 512))
	})
	d.check()
}
