// Package planner decides how many instances each pool has, and when each
// instance is rebooted.
//
// It is pure: a snapshot of the control state and what was observed go in,
// proposals come out. It reads no clock and does no I/O. Proposals carry the
// versions of the instances that they were decided on, so the fold ignores
// those that a newer state has made stale, and planners may race.
package planner

import (
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// Input is what one round decides on.
type Input struct {
	Now      time.Time
	Snapshot *controlstate.Snapshot
	// Self is the member that asks; it proposes only in its turn.
	Self record.MemberID
	// LogContact is unset while the log can't be reached: nothing is then
	// proposed.
	LogContact bool
	// Unhealthy are the instances that are missing from the directory, are
	// leaving, or are ejected.
	Unhealthy map[string]bool
	// Restarted are the rebooting instances that have come back.
	Restarted map[string]bool
	// Burning are the services that spend their error budget faster than
	// their objective allows.
	Burning map[string]bool
}

// Reboot asks the platform to reboot a drained instance. It is repeated each
// round until the instance has come back.
type Reboot struct {
	Instance string
	Wave     string
}

// Decision is what one round proposes.
type Decision struct {
	Records []record.Body
	Reboots []Reboot
}

// Planner keeps what was observed between rounds. It is not safe for
// concurrent use.
type Planner struct {
	models map[string]*demandModel
	needs  map[string]*needState
}

// New returns a planner that has observed nothing.
func New() *Planner {
	return &Planner{models: map[string]*demandModel{}, needs: map[string]*needState{}}
}

// Plan decides one round.
func (p *Planner) Plan(in Input) Decision {
	if in.Snapshot.Revision == 0 {
		return Decision{}
	}
	fs := summarize(in)
	p.updateNeeds(fs, in.Now)
	if !in.LogContact || !HasTurn(in.Snapshot.Members.IDs(), in.Self, in.Now) {
		return Decision{}
	}
	r := &round{in: in, summary: fs, planner: p, moved: map[string]bool{}}
	r.cancel()
	r.move()
	r.maintain()
	return r.decision
}

// round is the work of one Plan.
type round struct {
	in       Input
	summary  *fleetSummary
	planner  *Planner
	decision Decision
	// moved are the instances that this round moves.
	moved map[string]bool
}

func (r *round) propose(b record.Body) {
	r.decision.Records = append(r.decision.Records, b)
}
