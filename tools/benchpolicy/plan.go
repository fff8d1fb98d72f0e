package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/record"
)

// plan lets the policy's planner decide and folds what it proposes.
func (w *world) plan() {
	var records []record.Body
	author := w.daemons[0].id
	switch w.policy {
	case ours:
		author, records = w.planOurs()
	case greedy:
		records = append(w.planGreedy(), w.maintainSimply(w.budgetOf)...)
	case static:
		records = w.maintainSimply(func(string) int { return 1 })
	}
	for _, b := range records {
		if !w.fold(author, b) {
			continue
		}
		w.stats.planned(w, b)
	}
	w.publish()
}

func (w *world) planOurs() (record.MemberID, []record.Body) {
	ids := w.snap.Members.IDs()
	for _, id := range ids {
		if !planner.IsProposer(ids, id, w.now) {
			continue
		}
		d := w.planner.Plan(planner.Input{
			Now: w.now, Snapshot: w.snap, Self: id, LogContact: true,
			Unhealthy: w.unhealthy(), Restarted: w.restarted(),
		})
		for _, r := range d.Reboots {
			w.reboot(r.Instance)
		}
		return id, d.Records
	}
	return "", nil
}

// reboot is the fake of the platform's reboot.
func (w *world) reboot(instance string) {
	if k := w.workers[instance]; k.back.IsZero() {
		k.back = w.now.Add(rebootTime)
	}
}

func (w *world) restarted() map[string]bool {
	out := map[string]bool{}
	for name, k := range w.workers {
		if !k.back.IsZero() && !w.now.Before(k.back) {
			out[name] = true
		}
	}
	return out
}

// planGreedy moves instances towards what each pool asks for right now.
func (w *world) planGreedy() []record.Body {
	have, need := w.greedyCounts()
	idle := map[string][]*fleet.Instance{}
	for _, inst := range w.snap.Fleet.All() {
		if inst.Phase == fleet.Serving && w.snap.Centres.InService(inst.DataCentre) && !w.workers[inst.Name].away {
			idle[inst.Pool] = append(idle[inst.Pool], inst)
		}
	}
	for _, list := range idle {
		slices.SortStableFunc(list, func(a, b *fleet.Instance) int {
			return cmp.Compare(w.workers[a.Name].running, w.workers[b.Name].running)
		})
	}
	var out []record.Body
	pools := w.size.poolNames(w.policy)
	for _, to := range pools {
		for need[to] > have[to] {
			from := greedyDonor(pools, have, need, idle)
			if from == "" {
				break
			}
			inst := idle[from][0]
			idle[from] = idle[from][1:]
			have[from]--
			have[to]++
			out = append(out, record.Move{Instance: inst.Name, To: to, Version: inst.Version})
		}
	}
	for _, from := range pools {
		for from != sparePool && have[from] > need[from] && len(idle[from]) > 0 {
			inst := idle[from][0]
			idle[from] = idle[from][1:]
			have[from]--
			out = append(out, record.Move{Instance: inst.Name, To: sparePool, Version: inst.Version})
		}
	}
	return out
}

func (w *world) greedyCounts() (have, need map[string]int) {
	have, need = map[string]int{}, map[string]int{}
	demand := map[string]int{}
	for _, d := range w.daemons {
		for _, l := range d.queue.vector() {
			demand[l.Pool] += l.Running + l.Waiting
		}
	}
	for _, inst := range w.snap.Fleet.All() {
		pool := inst.Pool
		if inst.Intent == fleet.ToMove {
			pool = inst.To
		}
		if w.snap.Centres.InService(inst.DataCentre) && !w.workers[inst.Name].away {
			have[pool]++
		}
	}
	for pool, n := range demand {
		need[pool] = n/slots + 1
	}
	for _, pool := range w.size.poolNames(w.policy) {
		if pool != sparePool {
			need[pool] = max(need[pool], 2)
		}
	}
	return have, need
}

func greedyDonor(pools []string, have, need map[string]int, idle map[string][]*fleet.Instance) string {
	if len(idle[sparePool]) > 0 {
		return sparePool
	}
	best := ""
	for _, p := range pools {
		if have[p] > need[p] && len(idle[p]) > 0 && (best == "" || have[p]-need[p] > have[best]-need[best]) {
			best = p
		}
	}
	return best
}

func (w *world) budgetOf(service string) int {
	if service == "" {
		return 2
	}
	return w.snap.Document.Services[service].DailyBudget
}

// maintainSimply is the baselines' maintenance: oldest first, so many of a
// service at once, without regard to what has failed or is out.
func (w *world) maintainSimply(limit func(service string) int) []record.Body {
	m := w.snap.Document.Maintenance
	if m.Interval == 0 {
		return nil
	}
	var out []record.Body
	busy := map[string]int{}
	back := w.restarted()
	for _, inst := range w.snap.Fleet.All() {
		if inst.Phase == fleet.Rebooting || inst.Intent == fleet.ToMaintain {
			busy[w.snap.Document.Pools[inst.Pool].Service]++
		}
		switch {
		case inst.Phase == fleet.Rebooting && back[inst.Name]:
			out = append(out, record.Rebooted{Instance: inst.Name, Version: inst.Version, At: w.now.Unix()})
		case inst.Phase == fleet.Rebooting:
			w.reboot(inst.Name)
		}
	}
	for _, inst := range w.snap.Fleet.All() {
		service := w.snap.Document.Pools[inst.Pool].Service
		due := w.now.Sub(time.Unix(inst.MaintainedAt, 0)) >= m.Interval.D()*2/3
		if due && inst.Phase == fleet.Serving && busy[service] < limit(service) {
			busy[service]++
			out = append(out, record.Maintain{Instance: inst.Name, Wave: "w", Version: inst.Version})
		}
	}
	return out
}
