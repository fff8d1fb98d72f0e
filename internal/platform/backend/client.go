// Package backend is the HTTP adapter of platform.Backends: it runs tasks at
// backend servers by the protocol of docs/PLATFORM.md.
//
// It owns what is known about each attempt: a task is sent at most once, an
// answer is returned whole or not at all, and NotRun is stated only on proof.
// It must not know teams, limits or retries, nor choose a backend server.
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

	// maxHeaderBytes bounds the header section of an answer, in bytes.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// DialFunc opens a connection to addr, host:port.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the bounds of a Client.
type Options struct {
	// TaskConns is the most connections to one address that carry tasks.
	TaskConns int
	// ControlConns is the most connections to one address that carry stops
	// and usage reports, so that these don't wait for running tasks.
	ControlConns int
	// MaxAnswer is the largest answer body in bytes.
	MaxAnswer int64
	// Dial opens connections; nil dials TCP with DialTimeout.
	Dial DialFunc
	// DialTimeout bounds the opening of a TCP connection.
	DialTimeout time.Duration
}

// Client runs tasks at backend servers. It is safe for concurrent use.
type Client struct {
	tasks   *http.Transport
	control *http.Transport
	maxBody int64
}

var _ platform.Backends = (*Client)(nil)

// New returns a client with connections of its own.
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

// Close closes the connections that carry nothing.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Run sends the task to the backend server at addr, once, and returns its
// whole answer. Each error is a *verdict.Error: NotRun when no byte can have
// left or the backend server refused the task, Ran when the answer had begun,
// MayHaveRun otherwise.
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

// taskRequest builds the request of one attempt. The transport sends a request
// again by itself when it finds GetBody or an idempotency header, so the
// request has neither.
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
