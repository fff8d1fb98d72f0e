// Package fleet is the aggregate of instances: which pool each is in, and how
// it is moved, maintained and removed.
//
// An instance is in exactly one pool at every offset. A change of pool, a
// reboot or a removal first drains the instance, and takes effect only once
// every member has reported that it has nothing running there and will start
// nothing. The package does no I/O.
package fleet

import (
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

// Phase is the state of an instance.
type Phase uint8

const (
	// Serving instances take work of their pool.
	Serving Phase = iota
	// Draining instances take no new work until their intent takes effect.
	Draining
	// Rebooting instances are empty and have not come back from their reboot
	// yet.
	Rebooting
)

// String returns the phase as it is shown to operators.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Rebooting:
		return "rebooting"
	default:
		return "unknown"
	}
}

// Intent is the purpose of a drain, or of a reboot.
type Intent uint8

const (
	// NoIntent is the intent of a serving instance.
	NoIntent Intent = iota
	// ToMove drains for a change of pool.
	ToMove
	// ToMaintain drains for a reboot.
	ToMaintain
	// ToRemove drains an instance that the platform has taken away.
	ToRemove
)

// String returns the intent as it is shown to operators.
func (i Intent) String() string {
	switch i {
	case ToMove:
		return "move"
	case ToMaintain:
		return "maintain"
	case ToRemove:
		return "remove"
	default:
		return ""
	}
}

// Instance is one instance of the fleet, which runs a backend server. Values are
// never changed once they are in a Fleet.
type Instance struct {
	Name       string `msgpack:"n"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	Rack       string `msgpack:"r"`
	Slots      int    `msgpack:"s"`
	Pool       string `msgpack:"p"`
	// Version rises with each change of phase or intent; proposals carry the
	// version that they are based on.
	Version uint64 `msgpack:"v"`
	Phase   Phase  `msgpack:"h"`
	Intent  Intent `msgpack:"i"`
	// To is the target pool of a move.
	To string `msgpack:"t"`
	// Wave names the maintenance wave that the drain belongs to.
	Wave string `msgpack:"w"`
	// Since is the offset at which the current phase and intent began.
	Since record.Offset `msgpack:"o"`
	// MaintainedAt is the time of the last reboot, or of the adoption, in Unix
	// seconds.
	MaintainedAt int64 `msgpack:"m"`
	// Cleared holds the members that have cleared the drain, sorted.
	Cleared []record.MemberID `msgpack:"c"`
}

// Fleet is the set of instances. It is not safe for concurrent use.
type Fleet struct {
	byName map[string]*Instance
	// draining holds the names of instances that not all members have cleared
	// yet.
	draining map[string]struct{}
	// shared is set while a clone uses the same maps.
	shared bool
	// generation rises with each change.
	generation uint64
}

// New returns a fleet without instances.
func New() *Fleet {
	return &Fleet{byName: map[string]*Instance{}, draining: map[string]struct{}{}}
}

// Clone returns a copy that is independent of later changes to f. The maps are
// shared until one side changes them.
func (f *Fleet) Clone() *Fleet {
	f.shared = true
	c := *f
	return &c
}

// prepareWrite counts a change, and copies the maps if a clone shares them.
func (f *Fleet) prepareWrite() {
	f.generation++
	if !f.shared {
		return
	}
	f.byName = maps.Clone(f.byName)
	f.draining = maps.Clone(f.draining)
	f.shared = false
}

// put stores inst and updates the set of draining instances.
func (f *Fleet) put(inst *Instance) {
	f.prepareWrite()
	f.byName[inst.Name] = inst
	if inst.Phase == Draining {
		f.draining[inst.Name] = struct{}{}
		return
	}
	delete(f.draining, inst.Name)
}

func (f *Fleet) remove(name string) {
	f.prepareWrite()
	delete(f.byName, name)
	delete(f.draining, name)
}

// Adopt adds an instance to its first pool. It returns false for a known
// instance, and for one without a name or pool.
func (f *Fleet) Adopt(at record.Offset, a record.Adopt) bool {
	if _, ok := f.byName[a.Instance]; ok || a.Pool == "" || a.Instance == "" {
		return false
	}
	f.put(&Instance{
		Name:         a.Instance,
		Addr:         a.Addr,
		DataCentre:   a.DataCentre,
		Rack:         a.Rack,
		Slots:        a.Slots,
		Pool:         a.Pool,
		Version:      uint64(at) + 1,
		Since:        at,
		MaintainedAt: a.MaintainedAt,
	})
	return true
}

// Move starts to drain an instance for a change of pool.
func (f *Fleet) Move(at record.Offset, m record.Move) bool {
	inst, ok := f.serving(m.Instance, m.Version)
	if !ok || m.To == "" || m.To == inst.Pool {
		return false
	}
	next := *inst
	next.To = m.To
	f.drain(at, next, ToMove)
	return true
}

// Maintain starts to drain an instance for a reboot.
func (f *Fleet) Maintain(at record.Offset, m record.Maintain) bool {
	inst, ok := f.serving(m.Instance, m.Version)
	if !ok {
		return false
	}
	next := *inst
	next.Wave = m.Wave
	f.drain(at, next, ToMaintain)
	return true
}

// Remove starts to drain an instance for its removal. It overrides any other
// intent, since the instance is gone in any case.
func (f *Fleet) Remove(at record.Offset, r record.Remove) bool {
	inst, ok := f.byName[r.Instance]
	if !ok || inst.Version != r.Version || inst.Intent == ToRemove {
		return false
	}
	next := *inst
	next.To, next.Wave = "", ""
	f.drain(at, next, ToRemove)
	return true
}

// Cancel returns a draining instance to service in its pool.
func (f *Fleet) Cancel(at record.Offset, c record.Cancel) bool {
	inst, ok := f.byName[c.Instance]
	if !ok || inst.Version != c.Version || inst.Phase != Draining {
		return false
	}
	f.serve(at, *inst)
	return true
}

// Rebooted returns an instance to service after its reboot.
func (f *Fleet) Rebooted(at record.Offset, r record.Rebooted) bool {
	inst, ok := f.byName[r.Instance]
	if !ok || inst.Version != r.Version || inst.Phase != Rebooting {
		return false
	}
	next := *inst
	next.MaintainedAt = r.At
	f.serve(at, next)
	return true
}

// Clear records that a member has nothing running at a draining instance and
// starts nothing there. folded is the offset that the member had applied; a
// clearance from before the drain began doesn't count.
func (f *Fleet) Clear(m record.MemberID, folded record.Offset, name string) {
	inst, ok := f.byName[name]
	if !ok || inst.Phase != Draining || folded < inst.Since {
		return
	}
	i, found := slices.BinarySearch(inst.Cleared, m)
	if found {
		return
	}
	next := *inst
	next.Cleared = slices.Insert(slices.Clone(inst.Cleared), i, m)
	f.put(&next)
}

// Settle completes the drains that all given members have cleared. Members that
// joined after a drain began have never placed work there, but must clear it
// too: they do so in their next report.
func (f *Fleet) Settle(at record.Offset, members []record.MemberID) {
	if len(f.draining) == 0 || len(members) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(f.draining)) {
		inst := f.byName[name]
		if clearedByAll(inst, members) {
			f.complete(at, *inst)
		}
	}
}

func clearedByAll(inst *Instance, members []record.MemberID) bool {
	for _, m := range members {
		if _, ok := slices.BinarySearch(inst.Cleared, m); !ok {
			return false
		}
	}
	return true
}

func (f *Fleet) complete(at record.Offset, inst Instance) {
	switch inst.Intent {
	case ToMove:
		inst.Pool = inst.To
		f.serve(at, inst)
	case ToMaintain:
		inst.Phase = Rebooting
		inst.Since = at
		inst.Version = uint64(at) + 1
		inst.Cleared = nil
		f.put(&inst)
	case ToRemove:
		f.remove(inst.Name)
	}
}

func (f *Fleet) drain(at record.Offset, inst Instance, intent Intent) {
	inst.Phase = Draining
	inst.Intent = intent
	inst.Since = at
	inst.Version = uint64(at) + 1
	inst.Cleared = nil
	f.put(&inst)
}

func (f *Fleet) serve(at record.Offset, inst Instance) {
	inst.Phase = Serving
	inst.Intent = NoIntent
	inst.To, inst.Wave = "", ""
	inst.Since = at
	inst.Version = uint64(at) + 1
	inst.Cleared = nil
	f.put(&inst)
}

func (f *Fleet) serving(name string, version uint64) (*Instance, bool) {
	inst, ok := f.byName[name]
	if !ok || inst.Version != version || inst.Phase != Serving {
		return nil, false
	}
	return inst, true
}

// Generation rises with each change of an instance, so that readers of two
// snapshots can tell whether the fleet changed between them.
func (f *Fleet) Generation() uint64 { return f.generation }

// Get returns an instance, nil for an unknown one.
func (f *Fleet) Get(name string) *Instance { return f.byName[name] }

// Len returns the number of instances.
func (f *Fleet) Len() int { return len(f.byName) }

// All returns the instances sorted by name.
func (f *Fleet) All() []*Instance {
	names := slices.Sorted(maps.Keys(f.byName))
	all := make([]*Instance, len(names))
	for i, n := range names {
		all[i] = f.byName[n]
	}
	return all
}

// Each calls do for each instance, in no particular order.
func (f *Fleet) Each(do func(inst *Instance)) {
	for _, inst := range f.byName {
		do(inst)
	}
}

// Draining returns the names of draining instances, sorted.
func (f *Fleet) Draining() []string { return slices.Sorted(maps.Keys(f.draining)) }

// State returns the serialized form: the instances sorted by name.
func (f *Fleet) State() []Instance {
	states := make([]Instance, 0, len(f.byName))
	for _, inst := range f.All() {
		states = append(states, *inst)
	}
	return states
}

// Restore returns the fleet of a serialized form.
func Restore(states []Instance) *Fleet {
	f := New()
	for _, s := range states {
		f.byName[s.Name] = &s
		if s.Phase == Draining {
			f.draining[s.Name] = struct{}{}
		}
	}
	return f
}
