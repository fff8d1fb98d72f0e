// Package controlstate folds the control stream into the state that all
// daemons share.
//
// The fold is deterministic: the same records from the same offset give the
// same state in every process. The package only decides the order in which the
// aggregates (members, fleet, ledger, burn) apply a record; their rules are their
// own. One goroutine owns a State; others read its Snapshots.
package controlstate

import (
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/datacentre"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/team"
)

// State is the result of folding the control stream up to an offset. It is not
// safe for concurrent use.
type State struct {
	// next is the offset of the next record to fold.
	next     record.Offset
	revision uint64
	// configuredBy is the ID of the record that created the revision.
	configuredBy string
	// configuredAt is the offset of that record.
	configuredAt record.Offset
	// checkpointed is the Next of the newest announced checkpoint.
	checkpointed record.Offset
	doc          *configuration.Document
	index        *configuration.Index
	digest       string
	dataCentres  datacentre.Set
	members      *member.Members
	fleet        *fleet.Fleet
	ledger       *team.Ledger
	burn         *burn.History
}

// New returns the state before the first record.
func New() *State {
	doc := &configuration.Document{}
	return &State{
		configuredAt: record.NoOffset,
		checkpointed: record.NoOffset,
		doc:          doc,
		index:        configuration.NewIndex(doc),
		members:      member.New(),
		fleet:        fleet.New(),
		ledger:       team.NewLedger(),
		burn:         burn.NewHistory(),
	}
}

// Outcome is the result of folding a record.
type Outcome struct {
	// Accepted is set when the record took effect.
	Accepted bool
	// Reason is why it didn't, or ReasonNone.
	Reason Reason
	// Granted are the credits granted for a report's takes, in the order of the
	// takes.
	Granted []record.CreditChange
}

// Reason is why a record was ignored.
type Reason string

// Reasons for which records are ignored.
const (
	ReasonNone      Reason = ""
	ReasonCorrupt   Reason = "corrupt"
	ReasonUnknown   Reason = "unknown-kind"
	ReasonSequence  Reason = "old-sequence"
	ReasonNoMember  Reason = "not-a-member"
	ReasonStale     Reason = "stale"
	ReasonDigest    Reason = "digest-mismatch"
	ReasonDuplicate Reason = "duplicate"
)

// ErrGap is returned for a record whose offset isn't the next one.
var ErrGap = errors.New("record offset is not the next one")

// Next returns the offset of the next record to fold.
func (s *State) Next() record.Offset { return s.next }

// FoldData decodes and folds the record at an offset. A record that can't be
// decoded is skipped, in every daemon alike. The errors are those of Fold.
func (s *State) FoldData(at record.Offset, data []byte) (record.Envelope, Outcome, error) {
	e, err := record.Decode(data)
	if err != nil {
		if at != s.next {
			return e, Outcome{}, errors.Wrapf(ErrGap, "got offset %d, want %d", at, s.next)
		}
		s.next++
		reason := ReasonCorrupt
		if errors.Is(err, record.ErrUnknownKind) || errors.Is(err, record.ErrVersion) {
			reason = ReasonUnknown
		}
		return e, Outcome{Reason: reason}, nil
	}
	out, err := s.Fold(at, e)
	return e, out, err
}

// Fold applies one record. It returns ErrGap, wrapped, and changes nothing
// when the offset isn't the next one.
func (s *State) Fold(at record.Offset, e record.Envelope) (Outcome, error) {
	if at != s.next {
		return Outcome{}, errors.Wrapf(ErrGap, "got offset %d, want %d", at, s.next)
	}
	s.next++
	switch b := e.Body.(type) {
	case record.Configure:
		return s.configure(at, e.ID, b), nil
	case record.Join:
		return outcomeOf(s.members.Join(at, e.Author, e.Seq, b), ReasonDuplicate), nil
	}
	if s.members.Get(e.Author) == nil {
		return Outcome{Reason: ReasonNoMember}, nil
	}
	if !s.members.Accept(at, e.Author, e.Seq) {
		return Outcome{Reason: ReasonSequence}, nil
	}
	out := s.foldMember(at, e)
	if mayEndDrain(e.Body) {
		s.fleet.Settle(at, s.members.IDs())
	}
	return out, nil
}

// mayEndDrain reports whether a record can complete a drain: a clearance, or the
// departure of a member that had not cleared.
func mayEndDrain(b record.Body) bool {
	switch b := b.(type) {
	case record.Report:
		return len(b.Cleared) > 0
	case record.Leave, record.Reclaim:
		return true
	default:
		return false
	}
}

// foldMember applies a record whose author is a member and whose sequence is
// accepted.
func (s *State) foldMember(at record.Offset, e record.Envelope) Outcome {
	switch b := e.Body.(type) {
	case record.Report:
		return s.applyReport(e.Author, b)
	case record.Leave:
		s.members.Remove(at, e.Author)
		return s.release(e.Author)
	case record.Reclaim:
		m := s.members.Get(b.Member)
		if m == nil || m.Seq != b.LastSeq || b.Member == e.Author {
			return Outcome{Reason: ReasonStale}
		}
		s.members.Reclaim(at, b.Member)
		return s.release(b.Member)
	case record.Adopt:
		return outcomeOf(s.fleet.Adopt(at, b), ReasonDuplicate)
	case record.Remove:
		return outcomeOf(s.fleet.Remove(at, b), ReasonStale)
	case record.Move:
		return outcomeOf(s.fleet.Move(at, b), ReasonStale)
	case record.Maintain:
		return outcomeOf(s.fleet.Maintain(at, b), ReasonStale)
	case record.Rebooted:
		return outcomeOf(s.fleet.Rebooted(at, b), ReasonStale)
	case record.Cancel:
		return outcomeOf(s.fleet.Cancel(at, b), ReasonStale)
	case record.Burn:
		s.burn = s.burn.Add(b, s.hasService)
		return Outcome{Accepted: true}
	case record.Checkpointed:
		if b.Next <= s.checkpointed || b.Next > at {
			return Outcome{Reason: ReasonStale}
		}
		s.checkpointed = b.Next
		return Outcome{Accepted: true}
	default:
		return Outcome{Reason: ReasonUnknown}
	}
}

// outcomeOf returns an accepted outcome if ok is set, and one with the reason
// otherwise.
func outcomeOf(ok bool, reason Reason) Outcome {
	if ok {
		return Outcome{Accepted: true}
	}
	return Outcome{Reason: reason}
}

// configure applies a change of the configuration. The change is ignored unless
// it is based on the current revision and its result has the recorded digest.
func (s *State) configure(at record.Offset, id string, c record.Configure) Outcome {
	if c.Base != s.revision {
		return Outcome{Reason: ReasonStale}
	}
	delta, err := configuration.DecodeDelta(c.Delta)
	if err != nil {
		return Outcome{Reason: ReasonCorrupt}
	}
	doc := s.doc.Apply(delta)
	if doc.Digest() != c.Digest {
		return Outcome{Reason: ReasonDigest}
	}
	s.doc = doc
	s.digest = c.Digest
	s.revision++
	s.configuredBy = id
	s.configuredAt = at
	s.applyDocument()
	return Outcome{Accepted: true}
}

// applyDocument updates the aggregates and the index from the active document.
func (s *State) applyDocument() {
	limits := make(map[string]int, len(s.doc.Teams))
	for name, t := range s.doc.Teams {
		limits[name] = t.Limit
	}
	s.ledger.SetLimits(limits)
	s.members.SetLongestRun(s.doc.LongestRun())
	s.index = configuration.NewIndex(s.doc)
	s.dataCentres = dataCentresOf(s.doc)
	s.burn = s.burn.Keep(s.hasService)
}

func (s *State) hasService(name string) bool {
	_, ok := s.doc.Services[name]
	return ok
}

func dataCentresOf(doc *configuration.Document) datacentre.Set {
	inService := make(map[string]bool, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		inService[name] = dc.InService
	}
	return datacentre.NewSet(inService)
}

// applyReport applies a report: yields before takes, then clearances.
func (s *State) applyReport(author record.MemberID, r record.Report) Outcome {
	s.members.Report(author, r)
	for _, y := range r.Yields {
		s.ledger.Yield(author, y.Team, y.Count)
	}
	out := Outcome{Accepted: true}
	for _, t := range r.Takes {
		n := s.ledger.Take(author, t.Team, t.Count)
		out.Granted = append(out.Granted, record.CreditChange{Team: t.Team, Count: n})
	}
	for _, name := range r.Cleared {
		s.fleet.Clear(author, r.Folded, name)
	}
	return out
}

// release frees the credits of a departed member.
func (s *State) release(id record.MemberID) Outcome {
	s.ledger.Release(id)
	return Outcome{Accepted: true}
}

// Revision returns the revision of the active configuration, 0 if there is none.
func (s *State) Revision() uint64 { return s.revision }

// Epoch returns the membership epoch.
func (s *State) Epoch() uint64 { return s.members.Epoch() }

// Departed reports whether a member has left or was reclaimed.
func (s *State) Departed(id record.MemberID) bool { return s.members.Departed(id) }
