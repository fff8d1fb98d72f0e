package ownerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is far above the time to connect between data centres (2 ms).
	dialTimeout = 250 * time.Millisecond
	// silentAfter is how long a call has no answer before its connection counts as
	// dead when the caller gives up: connections may fall silent without an error.
	silentAfter = 200 * time.Millisecond
)

// ErrUnsent means that the call never left this daemon.
var ErrUnsent = errors.New("the peer can't be reached")

// errNoAnswer means that a call may have been carried out.
var errNoAnswer = errors.New("no answer in time")

// Client calls peers over one connection to each. Its methods may be called
// concurrently. Their error wraps ErrUnsent if no connection could be made.
type Client struct {
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client that connects to peers on demand.
func NewClient() *Client { return &Client{conns: map[string]*rpc.Client{}} }

// Job calls Server.Job of the owner at an address.
func (c *Client) Job(ctx context.Context, address string, req JobRequest) (JobReply, error) {
	return call[JobReply](ctx, c, callTimeout, address, "Job", req)
}

// Queue calls Server.Queue of the owner at an address.
func (c *Client) Queue(ctx context.Context, address string, req QueueRequest) (QueueReply, error) {
	return call[QueueReply](ctx, c, callTimeout, address, "Queue", req)
}

// Standings calls Server.Standings of the owner at an address.
func (c *Client) Standings(ctx context.Context, address string, req StandingsRequest) (StandingsReply, error) {
	return call[StandingsReply](ctx, c, callTimeout, address, "Standings", req)
}

// Release calls Server.Release of the owner at an address.
func (c *Client) Release(ctx context.Context, address string, req ReleaseRequest) (ReleaseReply, error) {
	return call[ReleaseReply](ctx, c, callTimeout, address, "Release", req)
}

// Demand calls Server.Demand of the owner at an address.
func (c *Client) Demand(ctx context.Context, address string, req DemandRequest) (DemandReply, error) {
	return call[DemandReply](ctx, c, callTimeout, address, "Demand", req)
}

// Store calls Server.Store of a peer.
func (c *Client) Store(ctx context.Context, address string, req StoreRequest) (StoreReply, error) {
	return call[StoreReply](ctx, c, req.Timeout+storeMargin, address, "Store", req)
}

// Away calls Server.Away of a peer.
func (c *Client) Away(ctx context.Context, address string) (AwayReply, error) {
	return call[AwayReply](ctx, c, callTimeout, address, "Away", AwayRequest{})
}

// Left calls Server.Left of a peer.
func (c *Client) Left(ctx context.Context, address string) error {
	_, err := call[LeftReply](ctx, c, callTimeout, address, "Left", LeftRequest{})
	return err
}

// call makes one call of at most a time to a method of Server, plus dialTimeout to
// connect. Its reply is empty after an error: a late answer may still be written to that
// of the call.
func call[Reply any](ctx context.Context, c *Client, timeout time.Duration, address, method string, req any) (Reply, error) {
	var reply Reply
	if err := c.callWithin(ctx, timeout, address, serviceName+"."+method, req, &reply); err != nil {
		var none Reply
		return none, err
	}
	return reply, nil
}

// callWithin makes one call of at most a time, plus dialTimeout to connect. A
// connection that failed, or without an answer in time, is closed, as it may be dead.
// An error of the server's method, or a caller that gives up before silentAfter,
// leaves it open for the other callers. The reply must not be used after an error, as
// a late answer may still be written to it.
func (c *Client) callWithin(ctx context.Context, timeout time.Duration, address, method string, req, reply any) error {
	conn, err := c.connection(address)
	if err != nil {
		return err
	}
	begin := time.Now()
	call := conn.Go(method, req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case done := <-call.Done:
		var failed rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &failed) {
			c.drop(address, conn)
		}
		return errors.Wrap(done.Error, method)
	case <-timer.C:
		c.drop(address, conn)
		return errors.Wrap(errNoAnswer, method)
	case <-ctx.Done():
		if time.Since(begin) > silentAfter {
			c.drop(address, conn)
		}
		return errors.Wrap(ctx.Err(), method)
	}
}

func (c *Client) connection(address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(ErrUnsent, err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = raw.Close()
		return other, nil
	}
	c.conns[address] = rpc.NewClient(raw)
	return c.conns[address], nil
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}
