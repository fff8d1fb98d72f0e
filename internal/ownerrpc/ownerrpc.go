// Package ownerrpc implements the calls between daemons that concern units: from
// the daemon that got a caller's request, or the leader that manages the
// machines, to the daemon that owns the unit. It uses net/rpc; each call has a
// function that serves it from this daemon's own units, a method of Server and a
// method of Client.
package ownerrpc

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/quota"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// serviceName is the name under which Server is registered with net/rpc.
	serviceName = "Owner"
	// callTimeout is far above the time of a call between data centres (2 ms), and
	// leaves time for a call to a second owner.
	callTimeout = 500 * time.Millisecond
	// storeMargin is the time that a peer waits for Store beyond the append's timeout,
	// so that it gets an answer.
	storeMargin = 100 * time.Millisecond
)

// Code is the outcome of a call.
type Code int

// The codes. Their numbers are sent.
const (
	// OK means that the call was carried out.
	OK Code = iota
	// NotReady means that the daemon can't serve the call now.
	NotReady
	// NoJob means that no such job exists.
	NoJob
	// NotOwner means that the daemon doesn't own the unit.
	NotOwner
	// Full means that the owner has no memory for a job.
	Full
	// Superseded means that the owner obeys a later leader. Earlier versions send NotReady.
	Superseded
)

// JobRequest names a job by a unit, the route of its queue and its ID. Earlier versions
// send no route and compare the reply's queue.
type JobRequest struct {
	Unit  int
	Route string
	ID    string
}

// JobReply is a job's state and queue. Except for Code, and Others in JobReply, the
// fields of replies are valid only with the code OK.
type JobReply struct {
	Code  Code
	State job.State
	Queue string
	// Others are the other units that may have the job, with the code NoJob.
	Others []int
}

// QueueRequest names a queue by a unit, its name and its route, which earlier versions
// don't send.
type QueueRequest struct {
	Unit  int
	Queue string
	Route string
}

// QueueReply is the state of a queue.
type QueueReply struct {
	Code Code
	// Waiting is the number of accepted jobs that haven't started.
	Waiting int
	// Others are the other units that may have jobs of the queue.
	Others []int
}

// StandingsRequest asks a unit for jobs that another unit has read.
type StandingsRequest struct {
	Unit  int
	Query owner.StandingQuery
}

// StandingsReply holds standings by job; jobs that the unit doesn't have are left out.
type StandingsReply struct {
	Code      Code
	Standings map[string]owner.Standing
}

// ReleaseRequest names instances of a unit's pool.
type ReleaseRequest struct {
	Unit      int
	Instances []string
}

// ReleaseReply names those of the request's instances that are empty.
type ReleaseReply struct {
	Code  Code
	Empty []string
}

// DemandRequest carries the grants of a pool, which Order names.
type DemandRequest struct {
	Unit  int
	Order owner.GrantOrder
}

// DemandReply is a pool's demand and the state of its instances.
type DemandReply struct {
	Code   Code
	Demand rebalance.Demand
	// Uses is what each team holds and uses after the request's grants have been
	// applied.
	Uses map[string]quota.Use
	// Owner is the epoch of the owner that answered.
	Owner int64
	// Leader is the epoch of the leader that the owner obeys, with the code Superseded.
	Leader int64
}

// Units finds the units that this daemon owns.
type Units interface {
	Unit(number int) *owner.Unit
}

// StoreRequest carries records of a daemon that can't reach the store, or finds it
// slow.
type StoreRequest struct {
	Unit    int
	Records []store.Record
	// Timeout bounds the append.
	Timeout time.Duration
}

// StoreReply is the outcome of an append: with NotReady nothing was stored.
type StoreReply struct {
	Code Code
}

// Server serves the calls of other daemons, concurrently. Its exported methods
// have the form that net/rpc requires.
type Server struct {
	units Units
	// log is this daemon's own way to the store, relayed the one that may lead through
	// a peer.
	log      *store.Watched
	relayed  *store.Relayed
	appender Appender
	// membersChanged is called when a peer reports that it has left the owners.
	membersChanged func()
}

// Appender appends callers' records to a unit's partition, those of several peers
// together.
type Appender interface {
	// AppendForPeer returns an error that wraps store.ErrNotDone or store.ErrFull if
	// nothing was stored, and another one if the records may have been. Without records
	// it probes whether the store takes appends.
	AppendForPeer(ctx context.Context, unit int, records []store.Record) error
}

// Store appends callers' records to a unit's partition. Duplicates are harmless:
// the unit's owner merges them. An error means that the append may have taken
// effect.
func (s *Server) Store(req StoreRequest, reply *StoreReply) error {
	if s.relayed.Away() > 0 {
		reply.Code = NotReady
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout)
	defer cancel()
	err := s.appender.AppendForPeer(ctx, req.Unit, req.Records)
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

// AwayRequest is the argument of Away.
type AwayRequest struct{}

// AwayReply is the state of a daemon's connection to the store.
type AwayReply struct {
	// For is how long the store hasn't served the daemon; 0 if no outage is known.
	For time.Duration
	// Serving is set if the store served the daemon's last call. A daemon that has just
	// started knows of no outage either, but nothing speaks for the store.
	Serving bool
}

// Away returns how long the store hasn't served this daemon.
func (s *Server) Away(_ AwayRequest, reply *AwayReply) error {
	reply.For, reply.Serving = s.log.Away(), s.log.Serving()
	return nil
}

// LeftRequest is the argument of Left.
type LeftRequest struct{}

// LeftReply is empty.
type LeftReply struct{}

// Left reports that a peer has left the owners: its units have successors now, which
// learn so by their next join.
func (s *Server) Left(LeftRequest, *LeftReply) error {
	s.membersChanged()
	return nil
}

// Job returns a job's state.
func (s *Server) Job(req JobRequest, reply *JobReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Job(ctx, s.units, req)
	return nil
}

// Queue returns the number of a queue's waiting jobs.
func (s *Server) Queue(req QueueRequest, reply *QueueReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Queue(ctx, s.units, req)
	return nil
}

// Standings returns how far a unit has got with jobs.
func (s *Server) Standings(req StandingsRequest, reply *StandingsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Standings(ctx, s.units, req)
	return nil
}

// Release cordons and drains instances, and returns those that are empty.
func (s *Server) Release(req ReleaseRequest, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Release(ctx, s.units, req)
	return nil
}

// Demand applies a pool's grants and returns its demand.
func (s *Server) Demand(req DemandRequest, reply *DemandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Demand(ctx, s.units, req)
	return nil
}

// Release serves a request from a unit of this daemon.
func Release(ctx context.Context, units Units, req ReleaseRequest) ReleaseReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return ReleaseReply{Code: NotOwner}
	}
	empty, err := u.Release(ctx, req.Instances)
	return ReleaseReply{Code: codeOf(err), Empty: empty}
}

// Demand serves a request from a unit of this daemon.
func Demand(ctx context.Context, units Units, req DemandRequest) DemandReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return DemandReply{Code: NotOwner}
	}
	uses, epoch, err := u.Grant(ctx, req.Order)
	var superseded *owner.SupersededError
	if errors.As(err, &superseded) {
		return DemandReply{Code: Superseded, Leader: superseded.Leader}
	}
	if err != nil {
		return DemandReply{Code: codeOf(err)}
	}
	d, err := u.Demand(ctx, req.Order.Pool)
	return DemandReply{Code: codeOf(err), Demand: d, Uses: uses, Owner: epoch}
}

// Job serves a request from a unit of this daemon.
func Job(ctx context.Context, units Units, req JobRequest) JobReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return JobReply{Code: NotOwner}
	}
	status, err := u.State(ctx, req.ID, req.Route)
	return JobReply{Code: codeOf(err), State: status.State, Queue: status.Queue, Others: status.Others}
}

// Queue serves a request from a unit of this daemon.
func Queue(ctx context.Context, units Units, req QueueRequest) QueueReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return QueueReply{Code: NotOwner}
	}
	waiting, others, err := u.Waiting(ctx, req.Queue, req.Route)
	return QueueReply{Code: codeOf(err), Waiting: waiting, Others: others}
}

// Standings serves a request from a unit of this daemon.
func Standings(ctx context.Context, units Units, req StandingsRequest) StandingsReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return StandingsReply{Code: NotOwner}
	}
	standings, err := u.Standings(ctx, req.Query)
	return StandingsReply{Code: codeOf(err), Standings: standings}
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

// Services are what Serve makes available to other daemons.
type Services struct {
	Units    Units
	Log      *store.Relayed
	Appender Appender
	// MembersChanged is called when a peer has left the owners.
	MembersChanged func()
}

// Serve serves calls on a listener until it is closed.
func Serve(l net.Listener, s Services, logger *zap.Logger) error {
	server := rpc.NewServer()
	receiver := &Server{units: s.Units, log: s.Log.Watched, relayed: s.Log, appender: s.Appender, membersChanged: s.MembersChanged}
	if err := server.RegisterName(serviceName, receiver); err != nil {
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
