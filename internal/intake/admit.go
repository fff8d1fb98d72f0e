package intake

import (
	"context"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/unitmap"
)

// largeRecord is the size of a submission's record above which the unit's owner is asked
// whether it has memory for the job. Smaller ones, which are nearly all, cost no call.
const largeRecord = 16 << 10

// reserveMemory asks the owner of a large job's unit for memory. It returns an error that wraps
// ErrNotRun if the owner has none or can't be asked.
func (s *Service) reserveMemory(ctx context.Context, sub *job.Submission) error {
	req := ownerrpc.AdmitRequest{Unit: s.UnitOf(sub.Pool), ID: sub.ID, Bytes: sub.SizeWithTasks()}
	if req.Unit == unitmap.None {
		return errors.Wrap(ErrNotRun, "no unit is assigned to the pool yet")
	}
	full := false
	err := s.callOwner(ctx, req.Unit, func(address string) (ownerrpc.Code, error) {
		var reply ownerrpc.AdmitReply
		var err error
		if address == "" {
			reply = ownerrpc.Admit(ctx, s.Units, req)
		} else {
			reply, err = s.Peers.Admit(ctx, address, req)
		}
		if err == nil && reply.Code == ownerrpc.Full {
			full = true
			return ownerrpc.OK, nil // another try would have the same answer
		}
		return reply.Code, err
	})
	switch {
	case full:
		return ErrOwnerFull
	case err != nil:
		return errors.Wrap(ErrNotRun, "a large job: "+err.Error())
	}
	return nil
}
