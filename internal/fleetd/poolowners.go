package fleetd

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/maintenance"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
)

// errNoOwner is returned if a pool's owner isn't known or gave no result.
var errNoOwner = errors.New("the pool's owner isn't known or gave no result")

// poolOwners calls the owners of pools and units, in this process or another. It
// implements maintenance.PoolOwners and owner.Peers, and is safe for concurrent use.
type poolOwners struct {
	units  ownerrpc.Units
	peers  *ownerrpc.Client
	member *ownership.Member
	unitOf func(pool string) int
	// moved holds a bool for each unit: the last call to its owner failed, so the
	// owner's address has to be read again.
	moved sync.Map
}

// Release implements maintenance.PoolOwners.
func (p *poolOwners) Release(ctx context.Context, pool string, instances []string) ([]string, error) {
	req := ownerrpc.ReleaseRequest{Unit: p.unitOf(pool), Instances: instances}
	var reply ownerrpc.ReleaseReply
	err := p.call(ctx, req.Unit, func(address string) error {
		var err error
		if address == "" {
			reply = ownerrpc.Release(ctx, p.units, req)
		} else {
			reply, err = p.peers.Release(ctx, address, req)
		}
		return err
	})
	return reply.Empty, p.recordResult(req.Unit, reply.Code, err)
}

// Demand implements maintenance.PoolOwners.
func (p *poolOwners) Demand(ctx context.Context, order owner.GrantOrder) (maintenance.Report, error) {
	req := ownerrpc.DemandRequest{Unit: p.unitOf(order.Pool), Order: order}
	var reply ownerrpc.DemandReply
	err := p.call(ctx, req.Unit, func(address string) error {
		var err error
		if address == "" {
			reply = ownerrpc.Demand(ctx, p.units, req)
		} else {
			reply, err = p.peers.Demand(ctx, address, req)
		}
		return err
	})
	if err == nil && reply.Code == ownerrpc.Superseded {
		p.moved.Store(req.Unit, false)
		return maintenance.Report{}, &owner.SupersededError{Leader: reply.Leader}
	}
	err = p.recordResult(req.Unit, reply.Code, err)
	return maintenance.Report{Demand: reply.Demand, Uses: reply.Uses, Owner: reply.Owner}, err
}

// Standings implements owner.Peers.
func (p *poolOwners) Standings(ctx context.Context, unit int, q owner.StandingQuery) (map[string]owner.Standing, error) {
	req := ownerrpc.StandingsRequest{Unit: unit, Query: q}
	var reply ownerrpc.StandingsReply
	err := p.call(ctx, unit, func(address string) error {
		var err error
		if address == "" {
			reply = ownerrpc.Standings(ctx, p.units, req)
		} else {
			reply, err = p.peers.Standings(ctx, address, req)
		}
		return err
	})
	return reply.Standings, p.recordResult(unit, reply.Code, err)
}

// call invokes do with the address of a unit's owner, or "" if the unit is owned by
// this daemon.
func (p *poolOwners) call(ctx context.Context, unit int, do func(address string) error) error {
	if p.units.Unit(unit) != nil {
		return do("")
	}
	address := p.member.Locate(ctx, unit, p.hasMoved(unit))
	if address == "" {
		return errNoOwner
	}
	return do(address)
}

// recordResult records whether a call to a unit's owner succeeded, and returns its
// error if it didn't.
func (p *poolOwners) recordResult(unit int, code ownerrpc.Code, err error) error {
	if err == nil && code != ownerrpc.OK {
		err = errNoOwner
	}
	p.moved.Store(unit, err != nil)
	return err
}

func (p *poolOwners) hasMoved(unit int) bool {
	moved, known := p.moved.Load(unit)
	return known && moved.(bool)
}
