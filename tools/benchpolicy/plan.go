package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/record"
)

// plan runs the planner of the policy, folds the records that it proposes and
// publishes the result.
func (sim *simulation) plan() {
	var records []record.Body
	author := sim.daemons[0].id
	switch sim.policy {
	case ours:
		author, records = sim.planOurs()
	case greedy:
		records = append(sim.planGreedy(), sim.planBaselineMaintenance(sim.dailyBudget)...)
	case static:
		records = sim.planBaselineMaintenance(func(string) int { return 1 })
	}
	for _, b := range records {
		if !sim.fold(author, b) {
			continue
		}
		sim.stats.recordAccepted(sim, b)
	}
	sim.publish()
}

func (sim *simulation) planOurs() (record.MemberID, []record.Body) {
	ids := sim.latest.Members.IDs()
	for _, id := range ids {
		if !planner.IsProposer(ids, id, sim.now) {
			continue
		}
		d := sim.planner.Plan(planner.Input{
			Now: sim.now, Snapshot: sim.latest, Self: id, LogContact: true,
			Unhealthy: sim.unhealthy(), Restarted: sim.restarted(),
		})
		for _, r := range d.Reboots {
			sim.reboot(r.Instance)
		}
		return id, d.Records
	}
	return "", nil
}

// reboot simulates the platform's reboot of an instance; it has no effect while
// one is in progress.
func (sim *simulation) reboot(instance string) {
	if worker := sim.workers[instance]; worker.rebootEnd.IsZero() {
		worker.rebootEnd = sim.now.Add(rebootTime)
	}
}

func (sim *simulation) restarted() map[string]bool {
	out := map[string]bool{}
	for name, worker := range sim.workers {
		if !worker.rebootEnd.IsZero() && !sim.now.Before(worker.rebootEnd) {
			out[name] = true
		}
	}
	return out
}

// planGreedy moves instances to match each pool's present demand, without
// hysteresis. Pools take instances from the spare pool first, then from the
// pool with the largest excess, and return their own excess to the spare pool.
func (sim *simulation) planGreedy() []record.Body {
	have, need := sim.greedyPoolSizes()
	available := map[string][]*fleet.Instance{}
	for _, inst := range sim.latest.Fleet.All() {
		if inst.Phase == fleet.Serving && sim.latest.Centres.InService(inst.DataCentre) && !sim.workers[inst.Name].down {
			available[inst.Pool] = append(available[inst.Pool], inst)
		}
	}
	for _, list := range available {
		slices.SortStableFunc(list, func(a, b *fleet.Instance) int {
			return cmp.Compare(sim.workers[a.Name].running, sim.workers[b.Name].running)
		})
	}
	var out []record.Body
	pools := sim.size.poolNames(sim.policy)
	for _, to := range pools {
		for need[to] > have[to] {
			from := greedyDonor(pools, have, need, available)
			if from == "" {
				break
			}
			inst := available[from][0]
			available[from] = available[from][1:]
			have[from]--
			have[to]++
			out = append(out, record.Move{Instance: inst.Name, To: to, Version: inst.Version})
		}
	}
	for _, from := range pools {
		for from != sparePool && have[from] > need[from] && len(available[from]) > 0 {
			inst := available[from][0]
			available[from] = available[from][1:]
			have[from]--
			out = append(out, record.Move{Instance: inst.Name, To: sparePool, Version: inst.Version})
		}
	}
	return out
}

// greedyPoolSizes returns the number of instances that each pool has, counting
// planned moves, and the number that its present demand needs.
func (sim *simulation) greedyPoolSizes() (have, need map[string]int) {
	have, need = map[string]int{}, map[string]int{}
	demand := map[string]int{}
	for _, d := range sim.daemons {
		for _, l := range d.queue.loads() {
			demand[l.Pool] += l.Running + l.Waiting
		}
	}
	for _, inst := range sim.latest.Fleet.All() {
		pool := inst.Pool
		if inst.Intent == fleet.ToMove {
			pool = inst.To
		}
		if sim.latest.Centres.InService(inst.DataCentre) && !sim.workers[inst.Name].down {
			have[pool]++
		}
	}
	for pool, n := range demand {
		need[pool] = n/slots + 1
	}
	for _, pool := range sim.size.poolNames(sim.policy) {
		if pool != sparePool {
			need[pool] = max(need[pool], 2)
		}
	}
	return have, need
}

func greedyDonor(pools []string, have, need map[string]int, available map[string][]*fleet.Instance) string {
	if len(available[sparePool]) > 0 {
		return sparePool
	}
	best := ""
	for _, p := range pools {
		if have[p] > need[p] && len(available[p]) > 0 && (best == "" || have[p]-need[p] > have[best]-need[best]) {
			best = p
		}
	}
	return best
}

func (sim *simulation) dailyBudget(service string) int {
	if service == "" {
		return 2
	}
	return sim.latest.Document.Services[service].DailyBudget
}

// planBaselineMaintenance plans the maintenance of the baselines: the instances
// that are due, in the order of their names, at most limit of a service at once.
// Instances that have failed or whose data centre is out of service don't count
// towards the limit.
func (sim *simulation) planBaselineMaintenance(limit func(service string) int) []record.Body {
	m := sim.latest.Document.Maintenance
	if m.Interval == 0 {
		return nil
	}
	var out []record.Body
	busy := map[string]int{}
	back := sim.restarted()
	for _, inst := range sim.latest.Fleet.All() {
		if inst.Phase == fleet.Rebooting || inst.Intent == fleet.ToMaintain {
			busy[sim.latest.Document.Pools[inst.Pool].Service]++
		}
		switch {
		case inst.Phase == fleet.Rebooting && back[inst.Name]:
			out = append(out, record.Rebooted{Instance: inst.Name, Version: inst.Version, At: sim.now.Unix()})
		case inst.Phase == fleet.Rebooting:
			sim.reboot(inst.Name)
		}
	}
	for _, inst := range sim.latest.Fleet.All() {
		service := sim.latest.Document.Pools[inst.Pool].Service
		due := sim.now.Sub(time.Unix(inst.MaintainedAt, 0)) >= m.Interval.D()*2/3
		if due && inst.Phase == fleet.Serving && busy[service] < limit(service) {
			busy[service]++
			out = append(out, record.Maintain{Instance: inst.Name, Wave: "w", Version: inst.Version})
		}
	}
	return out
}
