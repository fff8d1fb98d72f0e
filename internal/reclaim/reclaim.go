// Package reclaim decides which members are dead, so that their grants serve
// again.
//
// A member is reclaimed only when the directory has listed its run no more for
// a while, no record of it has come for so long that all it may have started
// has ended, and the log worked all that time. The controller is pure but for
// what it remembers: views, lists and times go in, records come out. The fold
// ignores a reclaim of a member that has written since.
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
	// unlistedDelay is how long lists must lack a member before it is reclaimed.
	unlistedDelay = 5 * time.Second
	// maxListAge is how old the newest list may be.
	maxListAge = 5 * time.Second
	// maxLogGap is how long the log may be out of contact, or this daemon
	// paused, before the silence of members counts anew.
	maxLogGap = 5 * time.Second
	// maxProposals is the most members that one turn reclaims.
	maxProposals = 16
)

// Options are what a controller is made of.
type Options struct {
	// Newest returns the newest list of the directory.
	Newest func() *listing.List
	// Contact returns the time of the last contact with the log.
	Contact func() time.Time
	// Heard returns when a member was last heard of by other ways than the
	// log; the zero time when it wasn't.
	Heard func(record.MemberID) time.Time
	Now   func() time.Time
}

// Controller proposes reclaims. It is for the control goroutine alone.
type Controller struct {
	opts          Options
	lastRecords   map[record.MemberID]lastRecord
	unlistedSince map[record.MemberID]time.Time
	silenceStart  time.Time
	lastReport    time.Time
	view          *control.View
	// listUsable is set while the newest list can be believed.
	listUsable bool
}

// lastRecord is the last lastRecord of life of a member in the log.
type lastRecord struct {
	seq        uint64
	receivedAt time.Time
}

// New returns a controller that has seen nothing.
func New(opts Options) *Controller {
	return &Controller{
		opts:          opts,
		lastRecords:   map[record.MemberID]lastRecord{},
		unlistedSince: map[record.MemberID]time.Time{},
	}
}

// Name implements control.Controller.
func (c *Controller) Name() string { return "reclaim" }

// Publish implements control.Participant: it notes who has written.
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

// Report implements control.Participant: it notes gaps and who is listed, and
// has nothing to say.
func (c *Controller) Report(now time.Time, _ *record.Report) bool {
	// What came during an outage of the log or a pause of this daemon may not
	// have been read, so silence counts anew.
	if now.Sub(c.lastReport) > maxLogGap || now.Sub(c.opts.Contact()) > maxLogGap {
		c.silenceStart = now
	}
	c.lastReport = now
	c.checkList(now)
	return false
}

// checkList notes which members the newest list lacks. It believes no list that is
// old, or lacks this daemon.
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

// newestRuns returns the member that joined last from each instance.
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

// listsMember tells whether a list has a member's instance at the member's address.
func listsMember(list *listing.List, m *member.Member) bool {
	l, ok := list.Get(m.Instance)
	return ok && l.Addr == m.PeerAddr
}

func (c *Controller) isDead(now time.Time, m *member.Member) bool {
	since, unlisted := c.unlistedSince[m.ID]
	if !unlisted || now.Sub(since) < unlistedDelay {
		return false
	}
	lastReceived := latest(c.silenceStart, c.lastRecords[m.ID].receivedAt)
	lastReceived = latest(lastReceived, c.opts.Heard(m.ID))
	return !now.Before(memberlease.Lapse(lastReceived, m.LongestRun))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
