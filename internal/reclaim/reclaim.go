// Package reclaim decides which members are dead, so that their grants can be
// used again.
//
// A member is reclaimed only when the directory has not listed its run for
// several seconds, no record or message of it has arrived for so long that
// everything it may have started has ended, and the log was in contact all that
// time. The controller does no I/O: views, lists and times go in, records come
// out. The fold ignores a reclaim of a member that has written a record since.
package reclaim

import (
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/memberlease"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// unlistedDelay is how long lists must lack a member before it is
	// reclaimed.
	unlistedDelay = 5 * time.Second
	// maxListAge is the greatest age of a list that is used.
	maxListAge = 5 * time.Second
	// maxLogGap is how long the log may be out of contact, or this daemon
	// paused, before the silence of all members is counted again from the
	// start.
	maxLogGap = 5 * time.Second
	// maxProposals is the most members reclaimed in one call.
	maxProposals = 16
)

// Options are the dependencies of a controller.
type Options struct {
	// Newest returns the newest list of the directory.
	Newest func() *listing.List
	// Contact returns the time of the last contact with the log.
	Contact func() time.Time
	// LastMessage returns when the last message of a member arrived other
	// than through the log; the zero time when none has.
	LastMessage func(record.MemberID) time.Time
	Now         func() time.Time
}

// Controller proposes reclaims. It is used by the control goroutine only.
type Controller struct {
	opts          Options
	lastRecords   map[record.MemberID]lastRecord
	unlistedSince map[record.MemberID]time.Time
	silenceStart  time.Time
	lastReport    time.Time
	view          *control.View
	// listUsable is set while the newest list is recent and lists this daemon.
	listUsable bool
}

// lastRecord is the last record of a member read from the log.
type lastRecord struct {
	seq        uint64
	receivedAt time.Time
}

// New returns a controller without observations.
func New(opts Options) *Controller {
	return &Controller{
		opts:          opts,
		lastRecords:   map[record.MemberID]lastRecord{},
		unlistedSince: map[record.MemberID]time.Time{},
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "reclaim" }

// Publish implements control.Participant. It records which members have
// written.
func (c *Controller) Publish(v *control.View) {
	c.view = v
	now := c.opts.Now()
	for _, m := range v.Members.All() {
		if old, ok := c.lastRecords[m.ID]; !ok || old.seq != m.Seq {
			c.lastRecords[m.ID] = lastRecord{seq: m.Seq, receivedAt: now}
		}
	}
	for id := range c.lastRecords {
		if v.Members.Get(id) == nil {
			delete(c.lastRecords, id)
			delete(c.unlistedSince, id)
		}
	}
}

// Report implements control.Participant. It records gaps and which members are
// listed, and adds nothing to the report.
func (c *Controller) Report(now time.Time, _ *record.Report) bool {
	// Messages that arrived during an outage of the log or a pause of this
	// daemon may not have been read, so silence is counted again from now.
	if now.Sub(c.lastReport) > maxLogGap || now.Sub(c.opts.Contact()) > maxLogGap {
		c.silenceStart = now
	}
	c.lastReport = now
	c.checkList(now)
	return false
}

// checkList records which members the newest list lacks. It ignores a list that
// is old or lacks this daemon.
func (c *Controller) checkList(now time.Time) {
	list := c.opts.Newest()
	self := c.view.Members.Get(c.view.Self)
	c.listUsable = self != nil && now.Sub(list.At) <= maxListAge && listsMember(list, self)
	if !c.listUsable {
		clear(c.unlistedSince)
		return
	}
	newest := newestRuns(c.view.Members.All())
	for _, m := range c.view.Members.All() {
		if newest[m.Instance] == m.ID && listsMember(list, m) {
			delete(c.unlistedSince, m.ID)
		} else if _, ok := c.unlistedSince[m.ID]; !ok {
			c.unlistedSince[m.ID] = now
		}
	}
}

// Propose implements control.Controller.
func (c *Controller) Propose(now time.Time, v *control.View) []record.Body {
	if !c.listUsable {
		return nil
	}
	var out []record.Body
	for _, m := range v.Members.All() {
		if len(out) < maxProposals && m.ID != v.Self && c.isDead(now, m) {
			out = append(out, record.Reclaim{Member: m.ID, LastSeq: m.Seq})
		}
	}
	return out
}

// newestRuns returns, by instance, the member that joined last.
func newestRuns(members []*member.Member) map[string]record.MemberID {
	newest := map[string]*member.Member{}
	for _, m := range members {
		if old, ok := newest[m.Instance]; !ok || m.Joined > old.Joined {
			newest[m.Instance] = m
		}
	}
	ids := make(map[string]record.MemberID, len(newest))
	for instance, m := range newest {
		ids[instance] = m.ID
	}
	return ids
}

// listsMember reports whether a list has a member's instance at the member's
// address.
func listsMember(list *listing.List, m *member.Member) bool {
	l, ok := list.Get(m.Instance)
	return ok && l.Addr == m.PeerAddr
}

func (c *Controller) isDead(now time.Time, m *member.Member) bool {
	since, unlisted := c.unlistedSince[m.ID]
	if !unlisted || now.Sub(since) < unlistedDelay {
		return false
	}
	lastReceived := later(c.silenceStart, c.lastRecords[m.ID].receivedAt)
	lastReceived = later(lastReceived, c.opts.LastMessage(m.ID))
	return !now.Before(memberlease.Expiry(lastReceived, m.LongestRun))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
