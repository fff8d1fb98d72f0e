package callerload

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// jobNumber numbers the jobs of all callers.
var jobNumber atomic.Int64

func submission(address, path, key string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", address, path, jobNumber.Add(1)), body)
	if err != nil {
		return nil, err
	}
	r.Host = queueHost
	r.Header.Set("X-Api-Key", key)
	return r, nil
}

// largeBody returns a legal body of a size.
func largeBody(size int) string {
	const begin, end = `{"spec":"x","steps":[{"count":1,"cpu":100,"est_runtime_ms":100,"image":"`, `"}]}`
	return begin + strings.Repeat("i", size-len(begin)-len(end)) + end
}

// sender writes a request's body, without its last byte if incomplete is set.
type sender func(w io.Writer, body string, incomplete bool)

func whole(w io.Writer, body string, incomplete bool) {
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(body))
	_, _ = io.WriteString(w, shorten(body, incomplete))
}

// inPieces writes a body with pauses, so that each piece arrives by itself.
func inPieces(w io.Writer, body string, incomplete bool) {
	const piece = 16 << 10
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(body))
	for rest := shorten(body, incomplete); rest != ""; {
		n := min(piece, len(rest))
		if _, err := io.WriteString(w, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		time.Sleep(20 * time.Millisecond)
	}
}

// inChunks returns a sender of chunks of a size.
func inChunks(size int) sender {
	return func(w io.Writer, body string, incomplete bool) {
		var out strings.Builder
		for rest := shorten(body, incomplete); rest != ""; {
			n := min(size, len(rest))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		if !incomplete {
			out.WriteString("0\r\n\r\n")
		}
		_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n"+out.String())
	}
}

func shorten(body string, incomplete bool) string {
	if incomplete {
		return body[:len(body)-1]
	}
	return body
}

// load runs callers on connections of their own, which stay open until the test ends.
// It returns once all callers have sent what they send, or can't send more.
func (d *daemon) load(callers int, send func(n int, conn net.Conn)) {
	var wg sync.WaitGroup
	for n := range callers {
		conn, err := net.Dial("tcp", d.settings.Callers)
		if err != nil {
			continue // the daemon takes no more connections
		}
		d.t.Cleanup(func() { _ = conn.Close() })
		// A caller that can't send for so long stays as it is.
		_ = conn.SetWriteDeadline(time.Now().Add(15 * time.Second))
		wg.Go(func() { send(n, conn) })
	}
	wg.Wait()
	time.Sleep(2 * time.Second) // lets the daemon read what has been sent
}

// submitLarge sends one large body; of ten callers nine stop just short of its end.
func submitLarge(path string, key func(n int) string, size int, send sender) func(n int, conn net.Conn) {
	body := largeBody(size)
	return func(n int, conn net.Conn) {
		fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\n", path, jobNumber.Add(1), queueHost)
		if key != nil {
			fmt.Fprintf(conn, "X-Api-Key: %s\r\n", key(n))
		}
		send(conn, body, n%10 != 0)
	}
}

func oneKey(int) string { return key(0) }

// The crowd of TestLargeBodies and the memory of its daemon. Trials by hand set others, as
// in `go test ./tools/callerload -run TestLargeBodies -args -callers 10000 -memory 184`.
var (
	largeCallers = flag.Int("callers", 600, "callers of TestLargeBodies")
	largeMemory  = flag.Int("memory", 96, "memory_mb of the daemon of TestLargeBodies")
)

// The process must stay within its memory however many callers hold large bodies open:
// bodies had neither a common limit nor a deadline, and 1,200 callers took a daemon of
// 284 MiB to 463 MiB.
func TestLargeBodies(t *testing.T) {
	for _, c := range []struct {
		name        string
		path        string
		key         func(int) string
		size        int
		send        sender
		descriptors int
	}{
		{"whole", keyedPath, oneKey, bodyBytes, whole, 4100},
		{"in pieces", keyedPath, oneKey, bodyBytes, inPieces, 4100},
		{"in large chunks", keyedPath, oneKey, bodyBytes, inChunks(32 << 10), 4100},
		{"in one-byte chunks", keyedPath, oneKey, bodyBytes / 2, inChunks(1), 4100},
		{"with many keys", keyedPath, key, bodyBytes, whole, 4100},
		{"without a key", keyedPath, nil, bodyBytes, whole, 400},
		{"without a key in large chunks", keyedPath, nil, bodyBytes, inChunks(32 << 10), 400},
		{"at an open queue", publicPath, nil, bodyBytes, whole, 4100},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t, *largeMemory, c.descriptors)
			d.load(*largeCallers, submitLarge(c.path, c.key, c.size, c.send))
			d.check()
		})
	}
}

// A body of many tiny steps decodes into many times its size.
func TestBodiesOfTinySteps(t *testing.T) {
	d := startDaemon(t, 96, 4100)
	body := `{"spec":"x","steps":[{}` + strings.Repeat(",{}", (bodyBytes-30)/3) + `]}`
	d.load(100, func(n int, conn net.Conn) {
		fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n", keyedPath, jobNumber.Add(1), queueHost, key(n))
		whole(conn, body, false)
	})
	d.check()
}

// Whole legal bodies, accepted one after another, must not fill the memory of the owner,
// which keeps all jobs, whether it takes them itself or another daemon does.
func TestAcceptedJobsFillTheOwner(t *testing.T) {
	for _, count := range []int{1, 2} {
		t.Run(fmt.Sprintf("daemons=%d", count), func(t *testing.T) {
			fake := newStore(t)
			var daemons []*daemon
			for range count {
				daemons = append(daemons, startDaemonAt(t, fake, 96, 4100))
			}
			client := &http.Client{Timeout: 10 * time.Second}
			body := largeBody(bodyBytes - 1000) // fits into a record of the store
			for n := range 600 {
				r, err := submission(daemons[n%count].settings.Callers, keyedPath, key(n), strings.NewReader(body))
				must(t, err)
				if resp, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
			for _, d := range daemons {
				d.check()
			}
		})
	}
}

// A single request within the limits must be served, however its body is sent.
func TestSingleLargeBody(t *testing.T) {
	for name, send := range map[string]sender{"whole": whole, "in pieces": inPieces, "in one-byte chunks": inChunks(1)} {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t, 96, 4100)
			// A daemon is ready before its units are loaded, and asks the owner of a large job.
			d.ordinary("waiting jobs", func() (*http.Request, error) {
				r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.Callers+keyedPath, nil)
				if err == nil {
					r.Host = queueHost
					r.Header.Set("X-Api-Key", key(0))
				}
				return r, err
			})
			conn, err := net.Dial("tcp", d.settings.Callers)
			must(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n", keyedPath, jobNumber.Add(1), queueHost, key(0))
			send(conn, largeBody(bodyBytes-1000), false)
			_ = conn.SetReadDeadline(time.Now().Add(ordinaryTimeout))
			status := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 200" {
				t.Fatalf("got %q, %v", status, err)
			}
			d.check()
		})
	}
}
