package ownerrpc

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/shortage"
)

// OutlookRequest names a pool.
type OutlookRequest struct {
	Unit int
	Pool string
}

// OutlookReply is a pool's outlook and how long ago it was computed.
type OutlookReply struct {
	Code    Code
	Outlook shortage.Outlook
	Age     time.Duration
}

// StoredRequest names submissions that a daemon is about to refuse.
type StoredRequest struct {
	Unit        int
	Submissions []owner.Submission
}

// StoredReply tells of each of them, in the same order, whether it may be stored already.
type StoredReply struct {
	Code   Code
	Stored []bool
}

// Outlook returns the outlook of a pool.
func (s *Server) Outlook(req OutlookRequest, reply *OutlookReply) error {
	*reply = Outlook(s.units, req)
	return nil
}

// Stored returns which submissions may be stored.
func (s *Server) Stored(req StoredRequest, reply *StoredReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Stored(ctx, s.units, req)
	return nil
}

// Outlook serves a request from a unit of this daemon.
func Outlook(units Units, req OutlookRequest) OutlookReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return OutlookReply{Code: NotOwner}
	}
	o, age, err := u.Outlook(req.Pool)
	return OutlookReply{Code: codeOf(err), Outlook: o, Age: age}
}

// Stored serves a request from a unit of this daemon.
func Stored(ctx context.Context, units Units, req StoredRequest) StoredReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return StoredReply{Code: NotOwner}
	}
	stored, err := u.Stored(ctx, req.Submissions)
	return StoredReply{Code: codeOf(err), Stored: stored}
}

// Outlook calls Server.Outlook of the owner at an address.
func (c *Client) Outlook(ctx context.Context, address string, req OutlookRequest) (OutlookReply, error) {
	return call[OutlookReply](ctx, c, callTimeout, address, "Outlook", req)
}

// Stored calls Server.Stored of the owner at an address.
func (c *Client) Stored(ctx context.Context, address string, req StoredRequest) (StoredReply, error) {
	return call[StoredReply](ctx, c, callTimeout, address, "Stored", req)
}
