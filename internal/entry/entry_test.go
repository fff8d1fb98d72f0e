package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/traffic"
	"github.com/beryltide/beryltide/internal/verdict"
)

const testSecret = "a-secret-of-vets"

// fakeServer answers each request with its body, or fails, and records the
// requests.
type fakeServer struct {
	requests []traffic.Request
	err      error
	// block makes a request wait until its context ends.
	block bool
}

func (s *fakeServer) Do(ctx context.Context, r traffic.Request) (platform.Answer, error) {
	s.requests = append(s.requests, r)
	if s.block {
		<-ctx.Done()
		return platform.Answer{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCancelled, "the caller has disconnected")
	}
	return platform.Answer{Status: 201, ContentType: "image/png", Body: r.Body, Instance: "w1"}, s.err
}

func newHandler(s *fakeServer, ready error) *Handler {
	doc := &configuration.Document{
		Queues: map[string]configuration.Queue{
			"engraving": {MaxBody: 8, Idempotent: true},
			"proofs":    {MaxBody: 8, Open: true, OpenTeam: "walk-in"},
		},
		Keys: map[string]configuration.Key{"k": {Team: "vets", Hash: configuration.HexKeyHash(testSecret)}},
	}
	view := &control.View{Snapshot: &controlstate.Snapshot{Document: doc}, Index: configuration.NewIndex(doc)}
	return New(Options{
		View:           func() *control.View { return view },
		Server:         s,
		Ready:          func() error { return ready },
		DefaultTimeout: 3 * time.Second,
		BodyRead:       2 * time.Second,
		Logger:         zap.NewNop(),
	})
}

func TestRefusedRequestsNeverReachTheServer(t *testing.T) {
	cases := []struct {
		name    string
		queue   string
		body    string
		headers map[string]string
		ready   error
		code    verdict.Code
		status  int
	}{
		{name: "unknown queue", queue: "none", code: verdict.CodeUnknownQueue, status: 404},
		{name: "no key", queue: "engraving", headers: map[string]string{"Authorization": ""}, code: verdict.CodeUnauthorized, status: 401},
		{name: "wrong key", queue: "engraving", headers: map[string]string{"Authorization": "Bearer nope"}, code: verdict.CodeUnauthorized, status: 401},
		{name: "wrong key on an open queue", queue: "proofs", headers: map[string]string{"Authorization": "Bearer nope"}, code: verdict.CodeUnauthorized, status: 401},
		{name: "no bearer", queue: "engraving", headers: map[string]string{"Authorization": "Basic x"}, code: verdict.CodeUnauthorized, status: 401},
		{name: "empty bearer on an open queue", queue: "proofs", headers: map[string]string{"Authorization": "Bearer "}, code: verdict.CodeUnauthorized, status: 401},
		{name: "timeout is not a number", queue: "engraving", headers: map[string]string{"Request-Timeout": "5s"}, code: verdict.CodeBadRequest, status: 400},
		{name: "timeout is zero", queue: "engraving", headers: map[string]string{"Request-Timeout": "0"}, code: verdict.CodeBadRequest, status: 400},
		{name: "timeout over a day", queue: "engraving", headers: map[string]string{"Request-Timeout": "86400001"}, code: verdict.CodeBadRequest, status: 400},
		{name: "long idempotency key", queue: "engraving", headers: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, code: verdict.CodeBadRequest, status: 400},
		{name: "large body", queue: "engraving", body: "123456789", code: verdict.CodeBodyTooLarge, status: 413},
		{name: "not ready", queue: "engraving", ready: errors.New("no log"), code: verdict.CodeNotReady, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeServer{}
			req := httptest.NewRequest("POST", "/v1/queues/"+c.queue+"/tasks", strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+testSecret)
			for k, v := range c.headers {
				req.Header.Set(k, v)
			}
			res := httptest.NewRecorder()
			newHandler(s, c.ready).ServeHTTP(res, req)
			var p problem
			is.NoErr(json.Unmarshal(res.Body.Bytes(), &p))
			is.Equal(res.Code, c.status)
			is.Equal(res.Header().Get("Content-Type"), "application/problem+json")
			is.Equal(p.Code, c.code)
			is.Equal(p.Verdict, verdict.NotRun)
			is.Equal(p.RequestID, res.Header().Get("Request-Id"))
			is.Equal(len(s.requests), 0) // the server got no request
		})
	}
}

func TestAnswerIsReturnedInFull(t *testing.T) {
	is := is.New(t)
	s := &fakeServer{}
	req := httptest.NewRequest("POST", "/v1/queues/engraving/tasks", strings.NewReader("REX"))
	req.Header.Set("Authorization", "Bearer "+testSecret)
	req.Header.Set("Request-Timeout", "1500")
	res := httptest.NewRecorder()
	newHandler(s, nil).ServeHTTP(res, req)
	is.Equal(res.Code, 201)
	is.Equal(res.Body.String(), "REX")
	is.Equal(res.Header().Get("Content-Type"), "image/png")
	is.Equal(res.Header().Get("Content-Length"), "3")
	is.Equal(s.requests[0].Team, "vets")
	is.True(time.Until(s.requests[0].Deadline) <= 1500*time.Millisecond)
}

func TestOpenQueueUsesItsConfiguredTeam(t *testing.T) {
	is := is.New(t)
	s := &fakeServer{}
	res := httptest.NewRecorder()
	newHandler(s, nil).ServeHTTP(res, httptest.NewRequest("POST", "/v1/queues/proofs/tasks", nil))
	is.Equal(s.requests[0].Team, "walk-in")
}

// serveOverPipe serves one in-memory connection, so that tests can run in
// virtual time.
func serveOverPipe(h http.Handler) (client net.Conn, done func()) {
	near, far := net.Pipe()
	ln := &oneConn{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	ln.conn <- far
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	return near, func() {
		near.Close()
		_ = server.Close()
	}
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConn) Close() error {
	close(l.closed)
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

func TestSlowBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeServer{}
		conn, done := serveOverPipe(newHandler(s, nil))
		defer done()
		start := time.Now()
		_, err := io.WriteString(conn, "POST /v1/queues/engraving/tasks HTTP/1.1\r\nHost: x\r\n"+
			"Authorization: Bearer "+testSecret+"\r\nContent-Length: 8\r\n\r\nab")
		is.NoErr(err)
		answer := make([]byte, 4096)
		n, err := conn.Read(answer)
		is.NoErr(err)
		is.True(bytes.Contains(answer[:n], []byte("408 Request Timeout")))
		is.Equal(time.Since(start), 2*time.Second) // BodyRead
		is.Equal(len(s.requests), 0)
	})
}

func TestClientDisconnectCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeServer{block: true}
		ended := make(chan error, 1)
		h := newHandler(s, nil)
		h.opts.Observe = func(_ string, _ platform.Answer, err error, _ time.Duration) { ended <- err }
		conn, done := serveOverPipe(h)
		defer done()
		_, err := io.WriteString(conn, "POST /v1/queues/engraving/tasks HTTP/1.1\r\nHost: x\r\n"+
			"Authorization: Bearer "+testSecret+"\r\nContent-Length: 3\r\n\r\nREX")
		is.NoErr(err)
		synctest.Wait()
		conn.Close()
		is.Equal(verdict.CodeOf(<-ended), verdict.CodeCancelled)
	})
}
