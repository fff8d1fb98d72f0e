package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// fakeServer is a backend server over pipes. It calls respond for the n-th
// request that it has read and sends the result; nil closes the connection.
type fakeServer struct {
	mu       sync.Mutex
	starts   map[string]int
	requests int
	respond  func(n int, taskID string, body []byte) []byte
}

func (s *fakeServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get(headerTaskID)
		s.mu.Lock()
		n := s.requests
		s.requests++
		s.starts[id]++
		s.mu.Unlock()
		reply := s.respond(n, id, body)
		if reply == nil {
			return
		}
		if _, err := conn.Write(reply); err != nil || bytes.Contains(reply, []byte("Connection: close")) {
			return
		}
	}
}

func (s *fakeServer) started(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[id]
}

// reply returns an HTTP response with the body sent and the length of stated.
func reply(status int, id, extra, stated, sent string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d X\r\nTask-Id: %s\r\nTask-Instance: w1\r\nContent-Type: text/plain\r\n"+
		"Content-Length: %d\r\n%s\r\n%s", status, id, len(stated), extra, sent)
}

func validAnswer(id, body string) []byte {
	return reply(200, id, "Content-Digest: "+digest([]byte(body))+"\r\n", body, body)
}

func newFakeServer(respond func(n int, taskID string, body []byte) []byte) *fakeServer {
	return &fakeServer{starts: map[string]int{}, respond: respond}
}

func newClient(dial DialFunc) *Client {
	return New(Options{TaskConns: 2, ControlConns: 1, MaxAnswer: 1 << 10, Dial: dial})
}

func task(id string) platform.Task {
	return platform.Task{ID: id, Queue: "engraving", Team: "vets", Lease: time.Minute, Body: []byte("tag " + id)}
}

func TestRunVerdicts(t *testing.T) {
	const late = 10 * time.Second
	cases := []struct {
		name    string
		respond func(n int, id string, body []byte) []byte
		want    verdict.Verdict
		code    verdict.Code
	}{
		{"whole", func(_ int, id string, _ []byte) []byte { return validAnswer(id, "done") }, verdict.Ran, ""},
		{"answer of a failed task", func(_ int, id string, _ []byte) []byte {
			return reply(503, id, "Content-Digest: "+digest([]byte("x"))+"\r\n", "x", "x")
		}, verdict.Ran, ""},
		{"refused", func(_ int, id string, _ []byte) []byte {
			return reply(503, id, "Task-Verdict: not-run\r\n", "", "")
		}, verdict.NotRun, verdict.CodeBackendRefused},
		{"refusal of another task", func(int, string, []byte) []byte {
			return reply(503, "other", "Task-Verdict: not-run\r\n", "", "")
		}, verdict.MayHaveRun, verdict.CodeAnswerMismatch},
		{"crossed", func(int, string, []byte) []byte { return validAnswer("other", "done") }, verdict.MayHaveRun, verdict.CodeAnswerMismatch},
		{"redirect is not followed", func(_ int, id string, _ []byte) []byte {
			return reply(307, id, "Location: /v1/tasks\r\nContent-Digest: "+digest(nil)+"\r\n", "", "")
		}, verdict.Ran, ""},
		{"truncated", func(n int, id string, _ []byte) []byte {
			return reply(200, id, "Connection: close\r\nContent-Digest: "+digest([]byte("done"))+"\r\n", "done", "do")
		}, verdict.Ran, verdict.CodeAnswerIncomplete},
		{"no digest", func(_ int, id string, _ []byte) []byte { return reply(200, id, "", "done", "done") }, verdict.Ran, verdict.CodeAnswerMismatch},
		{"wrong digest", func(_ int, id string, _ []byte) []byte {
			return reply(200, id, "Content-Digest: "+digest([]byte("dine"))+"\r\n", "done", "done")
		}, verdict.Ran, verdict.CodeAnswerMismatch},
		{"too large", func(_ int, id string, _ []byte) []byte { return validAnswer(id, strings.Repeat("x", 1<<10+1)) }, verdict.Ran, verdict.CodeAnswerIncomplete},
		{"late", func(_ int, id string, _ []byte) []byte { time.Sleep(late); return validAnswer(id, "done") }, verdict.MayHaveRun, verdict.CodeDeadline},
		{"closed after reading", func(int, string, []byte) []byte { return nil }, verdict.MayHaveRun, verdict.CodeBackendLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				srv := newFakeServer(tc.respond)
				c := newClient(srv.dial)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), late/2)
				defer cancel()
				answer, err := c.Run(ctx, "w1:80", task("t1"))
				if tc.code == "" {
					is.NoErr(err)
					is.Equal(answer.Instance, "w1")
				} else {
					is.Equal(verdict.Of(err), tc.want)
					is.Equal(verdict.CodeOf(err), tc.code)
					is.Equal(len(answer.Body), 0) // no part of a failed answer is returned
				}
				time.Sleep(2 * late)
				is.Equal(srv.started("t1"), 1)
			})
		})
	}
}

// A reused connection breaks after the backend server has read the second
// request. The transport must not resend the request.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		srv := newFakeServer(func(n int, id string, _ []byte) []byte {
			if n == 1 {
				return nil
			}
			return validAnswer(id, "done")
		})
		c := newClient(srv.dial)
		defer c.Close()
		_, err := c.Run(t.Context(), "w1:80", task("t1"))
		is.NoErr(err)
		_, err = c.Run(t.Context(), "w1:80", task("t2"))
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.Equal(srv.started("t2"), 1)
	})
}

func TestUnsentRequestIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refused := newClient(func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("connection refused")
		})
		_, err := refused.Run(t.Context(), "w1:80", task("t1"))
		is.Equal(verdict.Of(err), verdict.NotRun)

		// A request that times out while all connections are in use was never
		// sent.
		release := make(chan struct{})
		srv := newFakeServer(func(_ int, id string, _ []byte) []byte { <-release; return validAnswer(id, "done") })
		c := newClient(srv.dial)
		defer c.Close()
		var running sync.WaitGroup
		for n := range 2 {
			running.Go(func() {
				_, err := c.Run(t.Context(), "w1:80", task(fmt.Sprint("busy", n)))
				is.NoErr(err)
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Run(ctx, "w1:80", task("waits"))
		is.Equal(verdict.Of(err), verdict.NotRun)
		close(release)
		running.Wait()
		is.Equal(srv.started("waits"), 0)
	})
}

func TestSealedConnectionSendsNothing(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	conn := &guardedConn{Conn: client}
	is.Equal(conn.seal(), false)
	_, err := conn.Write([]byte("x"))
	is.True(errors.Is(err, errSealed))
}

// Each of thousands of interleaved requests gets its own answer or fails, even
// though some answers are swapped or truncated.
func TestInterleavedAnswersReachTheirRequests(t *testing.T) {
	const requests = 3000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		srv := newFakeServer(func(n int, id string, body []byte) []byte {
			time.Sleep(time.Duration(n%7) * time.Millisecond)
			switch n % 11 {
			case 3:
				return validAnswer(fmt.Sprint("t", n), string(body))
			case 5:
				return reply(200, id, "Connection: close\r\nContent-Digest: "+digest(body)+"\r\n", string(body), string(body[:2]))
			case 7:
				return nil
			}
			return validAnswer(id, string(body))
		})
		c := New(Options{TaskConns: 64, ControlConns: 1, MaxAnswer: 1 << 10, Dial: srv.dial})
		defer c.Close()
		var wg sync.WaitGroup
		var mu sync.Mutex
		good := 0
		for n := range requests {
			wg.Go(func() {
				sent := task(fmt.Sprint("r", n))
				answer, err := c.Run(t.Context(), "w1:80", sent)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				good++
				if string(answer.Body) != string(sent.Body) {
					t.Errorf("request %d got %q", n, answer.Body)
				}
			})
		}
		wg.Wait()
		is.True(good > requests/2)
		for id, n := range srv.starts {
			if n > 1 {
				t.Errorf("%s started %d times", id, n)
			}
		}
	})
}

func TestStopAndUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := `{"over": true, "instance": "w1", "running": 3}`
		srv := newFakeServer(func(int, string, []byte) []byte { return reply(200, "", "", body, body) })
		c := newClient(srv.dial)
		defer c.Close()
		over, err := c.Stop(t.Context(), "w1:80", "t1")
		is.NoErr(err)
		is.True(over)
		usage, err := c.Usage(t.Context(), "w1:80")
		is.NoErr(err)
		is.Equal(usage.Running, 3)
	})
}
