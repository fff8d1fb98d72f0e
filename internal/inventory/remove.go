package inventory

import (
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// removeAfter is how long lists must lack an instance before it is
	// removed.
	removeAfter = time.Minute
	// removeDoubted is the same for an instance that reboots, and while lists
	// lack so many that they may be wrong.
	removeDoubted = 10 * time.Minute
)

// Remover proposes the removal of instances that the directory lists no more,
// and takes a removal back when the instance is listed again. It is for the
// control goroutine alone.
type Remover struct {
	newest func() *listing.List
	view   *control.View
	list   *listing.List
	// absent holds since when lists lack an instance.
	absent map[string]time.Time
}

// NewRemover returns a remover that reads the newest list.
func NewRemover(newest func() *listing.List) *Remover {
	return &Remover{newest: newest, absent: map[string]time.Time{}}
}

// Name implements control.Controller.
func (r *Remover) Name() string { return "remove" }

// Publish implements control.Participant.
func (r *Remover) Publish(v *control.View) { r.view = v }

// Report implements control.Participant: it notes which instances a new list
// lacks, and has nothing to say.
func (r *Remover) Report(now time.Time, _ *record.Report) bool {
	list := r.newest()
	if list == r.list || list.At.IsZero() {
		return false
	}
	r.list = list
	for _, inst := range r.view.Fleet.All() {
		if _, ok := list.Get(inst.Name); ok {
			delete(r.absent, inst.Name)
		} else if _, ok := r.absent[inst.Name]; !ok {
			r.absent[inst.Name] = now
		}
	}
	for name := range r.absent {
		if r.view.Fleet.Get(name) == nil {
			delete(r.absent, name)
		}
	}
	return false
}

// Propose implements control.Controller.
func (r *Remover) Propose(now time.Time, v *control.View) []record.Body {
	if r.list == nil {
		return nil
	}
	hold := removeAfter
	if listing.Doubtful(len(r.absent), v.Fleet.Len()) {
		hold = removeDoubted
	}
	var out []record.Body
	for _, inst := range v.Fleet.All() {
		if len(out) == batch {
			break
		}
		if b := r.decide(now, inst, hold); b != nil {
			out = append(out, b)
		}
	}
	return out
}

// decide returns what to propose for an instance, or nil.
func (r *Remover) decide(now time.Time, inst *fleet.Instance, hold time.Duration) record.Body {
	since, absent := r.absent[inst.Name]
	if inst.Phase == fleet.Rebooting {
		hold = removeDoubted
	}
	switch removing := inst.Intent == fleet.ToRemove; {
	case removing && !absent:
		return record.Cancel{Instance: inst.Name, Version: inst.Version}
	case !removing && absent && now.Sub(since) >= hold:
		return record.Remove{Instance: inst.Name, Version: inst.Version}
	default:
		return nil
	}
}
