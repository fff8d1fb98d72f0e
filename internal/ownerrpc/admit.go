package ownerrpc

import (
	"context"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/owner"
)

// AdmitRequest asks a unit's owner whether it has memory for a large job.
type AdmitRequest struct {
	Unit int
	ID   string
	// Bytes is the memory that the owner needs for the job.
	Bytes int64
}

// AdmitReply is the answer: OK, Full, NotReady or NotOwner.
type AdmitReply struct {
	Code Code
}

// Admit reports whether the unit's owner has memory for a large job.
func (s *Server) Admit(req AdmitRequest, reply *AdmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = Admit(ctx, s.units, req)
	return nil
}

// Admit serves a request from a unit of this daemon.
func Admit(ctx context.Context, units Units, req AdmitRequest) AdmitReply {
	u := units.Unit(req.Unit)
	if u == nil {
		return AdmitReply{Code: NotOwner}
	}
	err := u.Admit(ctx, req.ID, req.Bytes)
	if errors.Is(err, owner.ErrFull) {
		return AdmitReply{Code: Full}
	}
	return AdmitReply{Code: codeOf(err)}
}

// Admit calls Server.Admit of the owner at an address. An owner of an earlier version
// returns an error.
func (c *Client) Admit(ctx context.Context, address string, req AdmitRequest) (AdmitReply, error) {
	return call[AdmitReply](ctx, c, callTimeout, address, "Admit", req)
}
