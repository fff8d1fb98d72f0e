package control

import (
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// View is what traffic sees of the control state: one snapshot with what is
// derived from it. It is never changed.
type View struct {
	*controlstate.Snapshot
	// Self is the member that this daemon is; empty before it has joined.
	Self record.MemberID
	// Index answers questions about the configuration in force.
	Index *configuration.Index
}

func newView(s *controlstate.Snapshot, self record.MemberID, previous *View) *View {
	v := &View{Snapshot: s, Self: self}
	if previous != nil && previous.Revision == s.Revision {
		v.Index = previous.Index
	} else {
		v.Index = configuration.NewIndex(s.Document)
	}
	return v
}
