// Package ownerrpc carries questions about jobs from the daemon that a caller
// reached to the daemon that owns the job's unit.
package ownerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/quota"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// serviceName is the name under which the owner's answers are registered.
	serviceName = "Owner"
	// dialTimeout and callTimeout are far over a call between data centres
	// (2 ms), and leave time for a second owner to be asked.
	dialTimeout = 250 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// storeTimeout bounds an append for a peer, within the call's.
	storeTimeout = 400 * time.Millisecond
)

// ErrUnsent says that a call never left this daemon.
var ErrUnsent = errors.New("the peer can't be reached")

// Code says why an owner gave no answer.
type Code int

// The codes.
const (
	OK Code = iota
	NotReady
	NoJob
	NotOwner
)

// JobRequest names a job.
type JobRequest struct {
	Unit int
	ID   string
}

// JobReply tells of a job.
type JobReply struct {
	Code  Code
	State job.State
	Queue string
}

// QueueRequest names a queue.
type QueueRequest struct {
	Unit  int
	Queue string
}

// QueueReply tells of a queue.
type QueueReply struct {
	Code    Code
	Waiting int
}

// ReleaseRequest names instances of a unit's pool.
type ReleaseRequest struct {
	Unit      int
	Instances []string
}

// ReleaseReply says which of them are empty.
type ReleaseReply struct {
	Code  Code
	Empty []string
}

// DemandRequest names a pool.
type DemandRequest struct {
	Unit  int
	Order owner.GrantOrder
}

// DemandReply tells what waits in a pool and what its instances do.
type DemandReply struct {
	Code   Code
	Demand rebalance.Demand
	// Uses tells what teams hold and use, with the request's grants in force.
	Uses map[string]quota.Use
	// Owner is the answering owner's epoch.
	Owner int64
}

// Units finds the units that this daemon owns.
type Units interface {
	Unit(number int) *owner.Unit
}

// StoreRequest asks to store records for a daemon that can't reach the store.
type StoreRequest struct {
	Unit    int
	Records []store.Record
}

// StoreReply says what became of it: NotReady that nothing was done.
type StoreReply struct {
	Code Code
}

// Server answers other daemons.
type Server struct {
	units Units
	log   *store.Watched
}

// Store appends callers' records to a unit's partition. Its owner merges them,
// however often they are there.
func (s *Server) Store(req StoreRequest, reply *StoreReply) error {
	if s.log.Away() > 0 {
		reply.Code = NotReady
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := s.log.Append(ctx, ownership.Topic, req.Unit, req.Records, nil)
	switch {
	case err == nil:
		reply.Code = OK
	case errors.Is(err, store.ErrNotDone), errors.Is(err, store.ErrFull):
		reply.Code = NotReady
	default:
		return err
	}
	return nil
}

// AwayRequest asks whether the store serves a daemon.
type AwayRequest struct{}

// AwayReply says for how long it hasn't; 0 means that it does.
type AwayReply struct {
	For time.Duration
}

// Away answers whether the store serves this daemon.
func (s *Server) Away(_ AwayRequest, reply *AwayReply) error {
	reply.For = s.log.Away()
	return nil
}

// Job answers for a job's state.
func (s *Server) Job(req JobRequest, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Job(ctx, s.units, req)
	return nil
}

// Queue answers for a queue's waiting jobs.
func (s *Server) Queue(req QueueRequest, reply *QueueReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Queue(ctx, s.units, req)
	return nil
}

// Release empties instances.
func (s *Server) Release(req ReleaseRequest, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Release(ctx, s.units, req)
	return nil
}

// Demand tells what a pool needs.
func (s *Server) Demand(req DemandRequest, reply *DemandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Demand(ctx, s.units, req)
	return nil
}

// Release asks a unit of this daemon.
func Release(ctx context.Context, units Units, req ReleaseRequest) ReleaseReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return ReleaseReply{Code: NotOwner}
	}
	empty, err := u.Release(ctx, req.Instances)
	return ReleaseReply{Code: codeOf(err), Empty: empty}
}

// Demand asks a unit of this daemon.
func Demand(ctx context.Context, units Units, req DemandRequest) DemandReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return DemandReply{Code: NotOwner}
	}
	uses, epoch, err := u.Grant(ctx, req.Order)
	if err != nil {
		return DemandReply{Code: codeOf(err)}
	}
	d, err := u.Demand(ctx, req.Order.Pool)
	return DemandReply{Code: codeOf(err), Demand: d, Uses: uses, Owner: epoch}
}

// Job asks a unit of this daemon.
func Job(ctx context.Context, units Units, req JobRequest) JobReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return JobReply{Code: NotOwner}
	}
	state, queue, err := u.State(ctx, req.ID)
	return JobReply{Code: codeOf(err), State: state, Queue: queue}
}

// Queue asks a unit of this daemon.
func Queue(ctx context.Context, units Units, req QueueRequest) QueueReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return QueueReply{Code: NotOwner}
	}
	waiting, err := u.Waiting(ctx, req.Queue)
	return QueueReply{Code: codeOf(err), Waiting: waiting}
}

func codeOf(err error) Code {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, owner.ErrNoJob):
		return NoJob
	}
	return NotReady
}

// Serve answers on a listener until it is closed.
func Serve(l net.Listener, units Units, log *store.Watched, logger *zap.Logger) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Server{units: units, log: log}); err != nil {
		return errors.Wrap(err, "register")
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			logger.Warn("peer.accept_failed", zap.Error(err))
			continue
		}
		go server.ServeConn(conn)
	}
}

// Client keeps one connection to each peer.
type Client struct {
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*rpc.Client{}} }

// Job asks the owner at an address.
func (c *Client) Job(ctx context.Context, address string, req JobRequest) (JobReply, error) {
	var reply JobReply
	err := c.Call(ctx, address, serviceName+".Job", req, &reply)
	return reply, err
}

// Queue asks the owner at an address.
func (c *Client) Queue(ctx context.Context, address string, req QueueRequest) (QueueReply, error) {
	var reply QueueReply
	err := c.Call(ctx, address, serviceName+".Queue", req, &reply)
	return reply, err
}

// Release asks the owner at an address.
func (c *Client) Release(ctx context.Context, address string, req ReleaseRequest) (ReleaseReply, error) {
	var reply ReleaseReply
	err := c.Call(ctx, address, serviceName+".Release", req, &reply)
	return reply, err
}

// Demand asks the owner at an address.
func (c *Client) Demand(ctx context.Context, address string, req DemandRequest) (DemandReply, error) {
	var reply DemandReply
	err := c.Call(ctx, address, serviceName+".Demand", req, &reply)
	return reply, err
}

// Store asks a peer to store a record.
func (c *Client) Store(ctx context.Context, address string, req StoreRequest) (StoreReply, error) {
	var reply StoreReply
	err := c.Call(ctx, address, serviceName+".Store", req, &reply)
	return reply, err
}

// Away asks a peer whether the store serves it.
func (c *Client) Away(ctx context.Context, address string) (AwayReply, error) {
	var reply AwayReply
	err := c.Call(ctx, address, serviceName+".Away", AwayRequest{}, &reply)
	return reply, err
}

// Call makes one call. A connection that doesn't answer in time is closed: it
// may have gone silent for good. The reply must not be used after an error.
func (c *Client) Call(ctx context.Context, address, method string, req, reply any) error {
	conn, err := c.connection(address)
	if err != nil {
		return err
	}
	call := conn.Go(method, req, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case done := <-call.Done:
		if done.Error != nil {
			c.drop(address, conn)
		}
		return errors.Wrap(done.Error, method)
	case <-timer.C:
		err = errors.New("no answer in time")
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.drop(address, conn)
	return errors.Wrap(err, method)
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
