package planner

import (
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/fleet"
)

// poolSummary counts the instances of one pool.
type poolSummary struct {
	name   string
	config configuration.Pool
	// configured is unset for a pool that the configuration no longer has.
	configured bool
	// members are the instances that count towards the pool's size: healthy
	// ones in data centres in service, in the pool or moving into it, including
	// those under maintenance.
	members map[string]*fleet.Instance
	// byDataCentre and byRack count the members.
	byDataCentre, byRack map[string]int
	// serving counts the members that take work now.
	serving int
	// slots and instances count all instances of the pool, whatever their
	// state.
	slots, instances int
}

func (ps *poolSummary) size() int { return len(ps.members) }

func (ps *poolSummary) add(inst *fleet.Instance) {
	ps.members[inst.Name] = inst
	ps.byDataCentre[inst.DataCentre]++
	ps.byRack[rackKey(inst)]++
}

func (ps *poolSummary) remove(inst *fleet.Instance) {
	delete(ps.members, inst.Name)
	ps.byDataCentre[inst.DataCentre]--
	ps.byRack[rackKey(inst)]--
}

func largest(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

func rackKey(inst *fleet.Instance) string { return inst.DataCentre + "/" + inst.Rack }

// disruptionBudget is a service's budget of unavailable instances and its use.
type disruptionBudget struct {
	budget int
	// down counts failed instances, and those that reboot or drain for it.
	down int
}

// fleetSummary groups the fleet by pools and services.
type fleetSummary struct {
	pools       map[string]*poolSummary
	poolNames   []string
	spare       *poolSummary
	disruptions map[string]*disruptionBudget
	// instances is sorted by name.
	instances []*fleet.Instance
	// outOfService names the data centres out of service.
	outOfService []string
	// services are the services of the configuration.
	services map[string]configuration.Service
}

func summarize(in Input) *fleetSummary {
	doc := in.Snapshot.Document
	fs := &fleetSummary{
		pools:       make(map[string]*poolSummary, len(doc.Pools)),
		disruptions: make(map[string]*disruptionBudget, len(doc.Services)),
		instances:   in.Snapshot.Fleet.All(),
		services:    doc.Services,
	}
	for _, name := range in.Snapshot.Centres.Names() {
		if !in.Snapshot.Centres.InService(name) {
			fs.outOfService = append(fs.outOfService, name)
		}
	}
	for name, service := range doc.Services {
		fs.disruptions[name] = &disruptionBudget{budget: service.DailyBudget}
	}
	for name, pool := range doc.Pools {
		ps := fs.poolOf(name)
		ps.config, ps.configured = pool, true
		if pool.Spare {
			fs.spare = ps
		}
	}
	for _, inst := range fs.instances {
		fs.count(in, inst)
	}
	fs.poolNames = slices.Sorted(maps.Keys(fs.pools))
	return fs
}

func (fs *fleetSummary) count(in Input, inst *fleet.Instance) {
	ps := fs.poolOf(inst.Pool)
	ps.slots += inst.Slots
	ps.instances++
	if !in.Snapshot.Centres.InService(inst.DataCentre) {
		if underMaintenance(inst) {
			fs.addDown(ps)
		}
		return
	}
	failed := in.Unhealthy[inst.Name] || inst.Intent == fleet.ToRemove
	if failed || underMaintenance(inst) {
		fs.addDown(ps)
	}
	if failed && inst.Phase != fleet.Rebooting {
		return
	}
	if inst.Intent == fleet.ToMove {
		fs.poolOf(inst.To).add(inst)
		return
	}
	ps.add(inst)
	if inst.Phase == fleet.Serving {
		ps.serving++
	}
}

func underMaintenance(inst *fleet.Instance) bool {
	return inst.Intent == fleet.ToMaintain || inst.Phase == fleet.Rebooting
}

func (fs *fleetSummary) addDown(ps *poolSummary) {
	if d, ok := fs.disruptions[ps.config.Service]; ok {
		d.down++
	}
}

func (fs *fleetSummary) poolOf(pool string) *poolSummary {
	ps, ok := fs.pools[pool]
	if !ok {
		ps = &poolSummary{
			name:         pool,
			members:      map[string]*fleet.Instance{},
			byDataCentre: map[string]int{},
			byRack:       map[string]int{},
		}
		fs.pools[pool] = ps
	}
	return ps
}

func (fs *fleetSummary) serviceOf(ps *poolSummary) configuration.Service {
	return fs.services[ps.config.Service]
}

// otherOutOfService reports whether a data centre other than the named one is
// out of service.
func (fs *fleetSummary) otherOutOfService(dataCentre string) bool {
	for _, name := range fs.outOfService {
		if name != dataCentre {
			return true
		}
	}
	return false
}
