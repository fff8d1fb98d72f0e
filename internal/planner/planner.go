// Package planner decides how many instances each pool has, and when each
// instance is rebooted.
//
// It is pure: a snapshot of the control state and observations go in, proposals
// come out. It reads no clock and does no I/O. Proposals carry the instance
// versions that they are based on, so the fold ignores those that a newer state
// has made stale, and planners may race.
package planner

import (
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// Input is the input of one round.
type Input struct {
	Now      time.Time
	Snapshot *controlstate.Snapshot
	// Self is the calling member; it proposes only while it is the proposer.
	Self record.MemberID
	// LogContact is unset while the log can't be reached; nothing is proposed
	// then.
	LogContact bool
	// Unhealthy holds the instances that are missing from the directory, are
	// leaving, or are ejected.
	Unhealthy map[string]bool
	// Restarted holds the rebooting instances that are back.
	Restarted map[string]bool
	// Burning holds the services that spend their error budget faster than
	// their objective allows.
	Burning map[string]bool
}

// Reboot is a request to the platform to reboot a drained instance. It is
// repeated each round until the instance is back.
type Reboot struct {
	Instance string
	Wave     string
}

// Decision is the output of one round.
type Decision struct {
	Records []record.Body
	Reboots []Reboot
}

// Planner keeps observations between rounds. It is not safe for concurrent use.
type Planner struct {
	models map[string]*demandModel
	needs  map[string]*needState
}

// New returns a planner without observations.
func New() *Planner {
	return &Planner{models: map[string]*demandModel{}, needs: map[string]*needState{}}
}

// Plan decides one round. It returns an empty decision before the first
// configuration, without contact with the log, and when in.Self isn't the
// proposer.
func (p *Planner) Plan(in Input) Decision {
	if in.Snapshot.Revision == 0 {
		return Decision{}
	}
	fs := summarize(in)
	p.updateNeeds(fs, in.Now)
	if !in.LogContact || !IsProposer(in.Snapshot.Members.IDs(), in.Self, in.Now) {
		return Decision{}
	}
	r := &round{in: in, summary: fs, planner: p, moved: map[string]bool{}}
	r.cancel()
	r.move()
	r.maintain()
	return r.decision
}

// round is the state of one call of Plan.
type round struct {
	in       Input
	summary  *fleetSummary
	planner  *Planner
	decision Decision
	// moved holds the instances that this round moves.
	moved map[string]bool
}

func (r *round) propose(b record.Body) {
	r.decision.Records = append(r.decision.Records, b)
}
