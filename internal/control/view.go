package control

import (
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// View is the control state as request handling reads it: a snapshot and data
// derived from it. It is immutable.
type View struct {
	*controlstate.Snapshot
	// Self is this daemon's member ID; empty before its first join is submitted.
	Self record.MemberID
	// Index is the index of the active configuration.
	Index *configuration.Index
}

// newView returns the view of a snapshot. It reuses the index of the previous
// view, which may be nil, if the revision is the same.

func newView(s *controlstate.Snapshot, self record.MemberID, previous *View) *View {
	v := &View{Snapshot: s, Self: self}
	if previous != nil && previous.Revision == s.Revision {
		v.Index = previous.Index
	} else {
		v.Index = configuration.NewIndex(s.Document)
	}
	return v
}
