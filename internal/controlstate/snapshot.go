package controlstate

import (
	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/datacentre"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/team"
)

// Snapshot is the state at one offset. It is immutable and safe for concurrent
// reads.
type Snapshot struct {
	// Next is the offset of the first record not in the snapshot.
	Next     record.Offset
	Revision uint64
	// ConfiguredBy and ConfiguredAt are the ID and the offset of the record that
	// created the revision.
	ConfiguredBy string
	ConfiguredAt record.Offset
	// Checkpointed is the Next of the newest announced checkpoint, or
	// record.NoOffset.
	Checkpointed record.Offset
	// Digest is the digest of Document.
	Digest   string
	Document *configuration.Document
	Index    *configuration.Index
	Centres  datacentre.Set
	Members  *member.Members
	Fleet    *fleet.Fleet
	Ledger   *team.Ledger
	Burn     *burn.History
}

// Snapshot returns the current state. Later folds don't change it.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{
		Next:         s.next,
		Revision:     s.revision,
		ConfiguredBy: s.configuredBy,
		ConfiguredAt: s.configuredAt,
		Checkpointed: s.checkpointed,
		Digest:       s.digest,
		Document:     s.doc,
		Index:        s.index,
		Centres:      s.dataCentres,
		Members:      s.members.Clone(),
		Fleet:        s.fleet.Clone(),
		Ledger:       s.ledger.Clone(),
		Burn:         s.burn,
	}
}
