package inventory

import (
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// removalDelay is how long an instance must be missing from the lists
	// before it is removed.
	removalDelay = time.Minute
	// longRemovalDelay applies to an instance that reboots, and to all while the
	// lists are implausible.
	longRemovalDelay = 10 * time.Minute
)

// Remover proposes the removal of instances that the directory no longer lists,
// and cancels a removal when the instance is listed again. It is used by the
// control goroutine only.
type Remover struct {
	newest func() *listing.List
	view   *control.View
	list   *listing.List
	// absentSince holds the time from which an instance is missing from the
	// lists.
	absentSince map[string]time.Time
}

// NewRemover returns a remover that reads the newest list.
func NewRemover(newest func() *listing.List) *Remover {
	return &Remover{newest: newest, absentSince: map[string]time.Time{}}
}

// Name implements control.Controller.
func (r *Remover) Name() string { return "remove" }

// Publish implements control.Participant.
func (r *Remover) Publish(v *control.View) { r.view = v }

// Report implements control.Participant. It records which instances a new list
// lacks and adds nothing to the report.
func (r *Remover) Report(now time.Time, _ *record.Report) bool {
	list := r.newest()
	if list == r.list || list.At.IsZero() {
		return false
	}
	r.list = list
	for _, inst := range r.view.Fleet.All() {
		if _, ok := list.Get(inst.Name); ok {
			delete(r.absentSince, inst.Name)
		} else if _, ok := r.absentSince[inst.Name]; !ok {
			r.absentSince[inst.Name] = now
		}
	}
	for name := range r.absentSince {
		if r.view.Fleet.Get(name) == nil {
			delete(r.absentSince, name)
		}
	}
	return false
}

// Propose implements control.Controller.
func (r *Remover) Propose(now time.Time, v *control.View) []record.Body {
	if r.list == nil {
		return nil
	}
	delay := removalDelay
	if listing.Implausible(len(r.absentSince), v.Fleet.Len()) {
		delay = longRemovalDelay
	}
	var out []record.Body
	for _, inst := range v.Fleet.All() {
		if len(out) == maxProposals {
			break
		}
		if b := r.decide(now, inst, delay); b != nil {
			out = append(out, b)
		}
	}
	return out
}

// decide returns the proposal for an instance, or nil.
func (r *Remover) decide(now time.Time, inst *fleet.Instance, delay time.Duration) record.Body {
	since, absent := r.absentSince[inst.Name]
	if inst.Phase == fleet.Rebooting {
		delay = longRemovalDelay
	}
	switch removing := inst.Intent == fleet.ToRemove; {
	case removing && !absent:
		return record.Cancel{Instance: inst.Name, Version: inst.Version}
	case !removing && absent && now.Sub(since) >= delay:
		return record.Remove{Instance: inst.Name, Version: inst.Version}
	default:
		return nil
	}
}
