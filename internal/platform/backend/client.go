// Package backend is the HTTP adapter of platform.Backends: it runs tasks on
// backend servers by the protocol of docs/PLATFORM.md.
//
// It guarantees that a call sends a task at most once, that an answer is returned
// complete or not at all, and that the verdict NotRun is returned only if it is
// proved. It depends on no teams, limits or retries, and doesn't choose the
// backend server.
package backend

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Header fields of the task protocol.
const (
	headerTaskID      = "Task-Id"
	headerQueue       = "Task-Queue"
	headerTeam        = "Task-Team"
	headerStartBefore = "Task-Start-Before"
	headerLease       = "Task-Lease"
	headerInstance    = "Task-Instance"
	headerVerdict     = "Task-Verdict"
	headerLeaving     = "Task-Leaving"
	headerDigest      = "Content-Digest"
	headerContentType = "Content-Type"
)

const (
	tasksPath = "/v1/tasks"
	usagePath = "/v1/usage"

	// maxHeaderBytes is the maximum size of an answer's header section, in bytes.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
)

// DialFunc opens a connection to addr (host:port).
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the bounds of a Client.
type Options struct {
	// TaskConns is the maximum number of connections to one address that carry
	// tasks.
	TaskConns int
	// ControlConns is the maximum number of connections to one address that
	// carry stops and usage reports. They are separate, so that these don't wait
	// for running tasks.
	ControlConns int
	// MaxAnswer is the maximum size of an answer's body in bytes.
	MaxAnswer int64
	// Dial opens connections. If it is nil, the client dials TCP with
	// DialTimeout.
	Dial DialFunc
	// DialTimeout is the timeout for opening a TCP connection.
	DialTimeout time.Duration
}

// Client runs tasks on backend servers. It is safe for concurrent use.
type Client struct {
	tasks   *http.Transport
	control *http.Transport
	maxBody int64
}

var _ platform.Backends = (*Client)(nil)

// New returns a client with its own connection pools.
func New(o Options) *Client {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &Client{
		tasks:   newTransport(dial, o.TaskConns),
		control: newTransport(dial, o.ControlConns),
		maxBody: o.MaxAnswer,
	}
}

func newTransport(dial DialFunc, conns int) *http.Transport {
	return &http.Transport{
		DialContext:            guardDial(dial),
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Run sends the task to the backend server at addr, once, and returns the
// complete answer. Each error is a *verdict.Error: NotRun if no byte can have
// been sent or the backend server refused the task, Ran if the task's answer
// arrived but is incomplete or wrong, MayHaveRun otherwise.
func (c *Client) Run(ctx context.Context, addr string, t platform.Task) (platform.Answer, error) {
	attempt := &attempt{}
	req, err := taskRequest(attempt.trace(ctx), addr, t)
	if err != nil {
		return platform.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "build the task's request")
	}
	resp, err := c.tasks.RoundTrip(req)
	if err != nil {
		return platform.Answer{}, attempt.failure(ctx, err)
	}
	defer resp.Body.Close()
	return c.readAnswer(resp, t.ID)
}

// taskRequest builds the request of one attempt. It has neither GetBody nor an
// idempotency header: with one of them, the transport may resend the request by
// itself.
func taskRequest(ctx context.Context, addr string, t platform.Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+tasksPath, bytes.NewReader(t.Body))
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	req.GetBody = nil
	req.Header.Set(headerTaskID, t.ID)
	req.Header.Set(headerQueue, t.Queue)
	req.Header.Set(headerTeam, t.Team)
	req.Header.Set(headerStartBefore, strconv.FormatInt(t.StartBefore.UnixMilli(), 10))
	req.Header.Set(headerLease, strconv.FormatInt(t.Lease.Milliseconds(), 10))
	req.Header.Set(headerDigest, digest(t.Body))
	if t.ContentType != "" {
		req.Header.Set(headerContentType, t.ContentType)
	}
	return req, nil
}
