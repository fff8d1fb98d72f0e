package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// dueFraction is the part of the maintenance interval after which an
	// instance is due. The rest leaves time for pauses.
	dueFraction = 2.0 / 3
	// deadlineFraction is the part of the interval after which an instance is
	// maintained even when its pool lacks the capacity for it.
	deadlineFraction = 5.0 / 6
	// spareFraction is the part of the spare pool that is maintained at once.
	spareFraction = 1.0 / 3
)

// cancel proposes to end drains that are no longer needed: drains for
// maintenance once another data centre is out of service or more of the service
// is down than its budget allows, and moves into pools that the configuration
// no longer has.
func (r *round) cancel() {
	for _, inst := range r.summary.instances {
		if inst.Phase != fleet.Draining || !r.shouldCancel(inst) {
			continue
		}
		r.propose(record.Cancel{Instance: inst.Name, Version: inst.Version})
		if d, ok := r.summary.disruptions[r.serviceName(inst)]; ok && inst.Intent == fleet.ToMaintain {
			d.down--
		}
	}
}

func (r *round) shouldCancel(inst *fleet.Instance) bool {
	switch inst.Intent {
	case fleet.ToMove:
		_, known := r.in.Snapshot.Document.Pools[inst.To]
		return !known
	case fleet.ToMaintain:
		d, ok := r.summary.disruptions[r.serviceName(inst)]
		return r.summary.otherOutOfService(inst.DataCentre) || ok && d.down > d.budget
	default:
		return false
	}
}

// maintain repeats or ends the reboots under way and proposes those that are
// due.
func (r *round) maintain() {
	for _, inst := range r.summary.instances {
		if inst.Phase == fleet.Rebooting {
			r.reboot(inst)
		}
	}
	m := r.in.Snapshot.Document.Maintenance
	if m.Interval.D() <= 0 || m.Paused {
		return
	}
	for _, inst := range r.due(m.Interval.D()) {
		if r.mayMaintain(inst, m.Interval.D()) {
			r.startMaintenance(inst)
		}
	}
}

func (r *round) reboot(inst *fleet.Instance) {
	if r.in.Restarted[inst.Name] {
		r.propose(record.Rebooted{Instance: inst.Name, Version: inst.Version, At: r.in.Now.Unix()})
		return
	}
	r.decision.Reboots = append(r.decision.Reboots, Reboot{Instance: inst.Name, Wave: inst.Wave})
}

// due returns the instances whose maintenance is due, those near their deadline
// first. Otherwise data centres and racks that already have instances under
// maintenance come first, so that a wave goes through the failure domains one at
// a time.
func (r *round) due(interval time.Duration) []*fleet.Instance {
	inDataCentre, inRack := map[string]int{}, map[string]int{}
	var due []*fleet.Instance
	for _, inst := range r.summary.instances {
		if underMaintenance(inst) {
			inDataCentre[inst.DataCentre]++
			inRack[rackKey(inst)]++
		}
		if inst.Phase == fleet.Serving && !r.moved[inst.Name] && r.age(inst) >= fraction(interval, dueFraction) {
			due = append(due, inst)
		}
	}
	slices.SortStableFunc(due, func(a, b *fleet.Instance) int {
		return cmp.Or(
			-cmp.Compare(nearDeadline(r.age(a), interval), nearDeadline(r.age(b), interval)),
			cmp.Compare(inDataCentre[b.DataCentre], inDataCentre[a.DataCentre]),
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(inRack[rackKey(b)], inRack[rackKey(a)]),
			cmp.Compare(a.Rack, b.Rack),
		)
	})
	return due
}

func (r *round) age(inst *fleet.Instance) time.Duration {
	return r.in.Now.Sub(time.Unix(inst.MaintainedAt, 0))
}

// nearDeadline returns 1 for an instance near its deadline, 0 for others.
func nearDeadline(age, interval time.Duration) int {
	if age >= fraction(interval, deadlineFraction) {
		return 1
	}
	return 0
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// mayMaintain reports whether an instance may start to drain for its reboot.
func (r *round) mayMaintain(inst *fleet.Instance, interval time.Duration) bool {
	if r.summary.otherOutOfService(inst.DataCentre) || r.in.Unhealthy[inst.Name] {
		return false
	}
	ps := r.summary.pools[inst.Pool]
	if ps == r.summary.spare {
		return r.spareCanLose(ps)
	}
	service := ps.config.Service
	d, ok := r.summary.disruptions[service]
	if !ok {
		return true
	}
	if d.down >= d.budget || r.in.Burning[service] {
		return false
	}
	if _, member := ps.members[inst.Name]; !member {
		return true // its data centre is out of service
	}
	enough := ps.serving-1 >= r.planner.needOf(ps.name).current
	return enough || nearDeadline(r.age(inst), interval) == 1
}

func (r *round) spareCanLose(ps *poolSummary) bool {
	unavailable := ps.size() - ps.serving
	return float64(unavailable) < max(1, spareFraction*float64(ps.size()))
}

func (r *round) startMaintenance(inst *fleet.Instance) {
	wave := fmt.Sprintf("%s-%d", inst.DataCentre, inst.MaintainedAt)
	r.propose(record.Maintain{Instance: inst.Name, Wave: wave, Version: inst.Version})
	ps := r.summary.pools[inst.Pool]
	ps.serving--
	r.summary.addDown(ps)
}

func (r *round) serviceName(inst *fleet.Instance) string {
	return r.summary.poolOf(inst.Pool).config.Service
}
