package main

import (
	"math/rand/v2"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
)

// scenario is a sequence of load and faults, with the measures taken of it.
type scenario struct {
	name string
	// usersOnly restricts the scenario to the size "users"; it would take too
	// long at the full size.
	usersOnly bool
	run       func(sim *simulation) []measurement
}

var scenarios = []scenario{
	{name: "full", run: fullFleet},
	{name: "full-mixed", run: fullMixed},
	{name: "lending", run: lending},
	{name: "turns", usersOnly: true, run: demandPeaks},
	{name: "out-and-back", run: dataCentreOutage},
	{name: "maintenance", usersOnly: true, run: maintenanceWave},
	{name: "shock", usersOnly: true, run: demandShock},
	{name: "failing-workers", usersOnly: true, run: failingWorkers},
}

// aimOf returns the aim of a measure, or nil if it has none. values holds the
// measure's values by policy, from which some aims are derived.
func aimOf(scenario, measure string, values map[policy]float64) *aim {
	switch measure {
	case "share_gap":
		return &aim{limit: 0.02}
	case "urgent_p999_s":
		return &aim{limit: 2.6}
	case "work_done":
		return &aim{limit: 0.98, atLeast: true}
	case "starts_after_3s", "budget_overspent", "budget_overspends":
		return &aim{limit: 0}
	case "buffer":
		return &aim{limit: values[static] / 2}
	case "late":
		if scenario == "turns" {
			return &aim{limit: min(values[static], values[greedy])}
		}
	case "moves_per_hour":
		return &aim{limit: values[greedy] / 3}
	case "rollout":
		return &aim{limit: 1.2}
	}
	return nil
}

// saturate adds streams that together exceed the capacity of the fleet: each
// team requests more than its share, in all pools alike. Most requests of a team
// arrive at the same daemon.
func (sim *simulation) saturate(runTimeOf func(team int) func(*rand.Rand) time.Duration, meanRunTime func(team int) time.Duration) {
	// excess is the demand of each team in multiples of its share.
	const excess = 1.5
	total := 0.0
	for i := range sim.size.teams {
		total += sim.size.share(i)
	}
	capacity := float64(sim.size.instances * slots)
	for i := range sim.size.teams {
		rate := excess * capacity * sim.size.share(i) / total / meanRunTime(i).Seconds()
		for p := range sim.size.services {
			sim.addStream(stream{
				team: teamName(i), pool: poolName(p), rate: constantRate(rate / float64(sim.size.services)),
				peak: rate / float64(sim.size.services), runTime: runTimeOf(i), mainDaemon: i, mainDaemonPart: 0.7,
			})
		}
	}
}

// assignSpares distributes the instances of the spare pool evenly over the
// service pools, as a planner does once the fleet is full, so that the
// measurements that follow depend on dispatch only.
func (sim *simulation) assignSpares() {
	if sim.policy == static {
		return
	}
	doc := sim.state.Snapshot().Document
	pools := map[string]configuration.Pool{}
	for name, p := range doc.Pools {
		if !p.Spare {
			p.Size = sim.size.instances/sim.size.services + 1
			pools[name] = p
		}
	}
	sim.configure(doc.Apply(configuration.Delta{Pools: configuration.Changes[configuration.Pool]{Set: pools}}))
	next := 0
	for _, inst := range sim.state.Snapshot().Fleet.All() {
		if inst.Pool != sparePool {
			continue
		}
		sim.fold(sim.daemons[0].id, record.Move{Instance: inst.Name, To: poolName(next % sim.size.services), Version: inst.Version})
		next++
	}
	sim.publish()
}

// addUrgentStreams adds a low rate of urgent requests of up to six teams in up
// to five pools.
func (sim *simulation) addUrgentStreams() {
	const rate = 0.5
	for i := range min(sim.size.teams, 6) {
		for p := range min(sim.size.services, 5) {
			sim.addStream(stream{team: teamName(i), pool: poolName(p), urgent: true, rate: constantRate(rate), peak: rate})
		}
	}
}

func fullFleet(sim *simulation) []measurement {
	sim.assignSpares()
	sim.saturate(func(int) func(*rand.Rand) time.Duration { return exponentialRunTime },
		func(int) time.Duration { return runTime })
	sim.addUrgentStreams()
	return sim.measureFull()
}

func (sim *simulation) measureFull() []measurement {
	sim.run(60 * time.Second)
	sim.resetStats()
	sim.run(sim.size.fullDuration)
	return []measurement{
		{"share_gap", sim.stats.maxShareGap},
		{"utilization", sim.stats.utilization(sim.size.instances)},
		{"urgent_p999_s", percentile(sim.stats.urgentWaits, 0.999)},
	}
}

// fullMixed saturates the fleet with tasks of about a minute of the first team
// and tasks of about a second of the others.
func fullMixed(sim *simulation) []measurement {
	sim.assignSpares()
	longRunTime := func(rng *rand.Rand) time.Duration { return 30*time.Second + exponential(rng, 30*time.Second) }
	sim.saturate(func(i int) func(*rand.Rand) time.Duration {
		if i == 0 {
			return longRunTime
		}
		return exponentialRunTime
	}, func(i int) time.Duration {
		if i == 0 {
			return time.Minute
		}
		return runTime
	})
	sim.addUrgentStreams()
	return sim.measureFull()
}

// lending starts the requests of the largest team after two minutes. Until then
// the other teams may use its share; afterwards it must get the share back.
func lending(sim *simulation) []measurement {
	sim.assignSpares()
	total := 0.0
	for i := range sim.size.teams {
		total += sim.size.share(i)
	}
	capacity := float64(sim.size.instances * slots)
	for i := range sim.size.teams {
		rate := 3 * capacity * sim.size.share(i) / total / float64(sim.size.services)
		for p := range sim.size.services {
			s := stream{
				team: teamName(i), pool: poolName(p), rate: constantRate(rate), peak: rate, mainDaemon: i, mainDaemonPart: 0.7,
			}
			if i == 0 {
				s.rate = func(since time.Duration) float64 {
					if since < 2*time.Minute {
						return 0
					}
					return rate
				}
			}
			sim.addStream(s)
		}
	}
	sim.run(time.Minute)
	sim.resetStats()
	sim.run(time.Minute)
	lentUtilization := sim.stats.utilization(sim.size.instances)
	sim.run(10 * time.Second)
	sim.resetStats()
	sim.run(shareWindowSeconds * time.Second)
	return []measurement{{"utilization_lent", lentUtilization}, {"share_gap", sim.stats.maxShareGap}}
}

// demandPeaks gives the pools demand peaks of eight seconds, one after another.
// It measures forty minutes after a warm-up of twenty.
func demandPeaks(sim *simulation) []measurement {
	mean := 0.3 * float64(sim.size.instances*slots) / float64(sim.size.services) / runTime.Seconds()
	for p := range sim.size.services {
		sim.addStream(stream{
			team: teamName(p % sim.size.teams), pool: poolName(p), peak: 5 * mean,
			rate: rotatingPeaks(mean, p, sim.size.services, 8*time.Second),
		})
	}
	sim.run(20 * time.Minute)
	sim.resetStats()
	sim.run(40 * time.Minute)
	return []measurement{
		{"late", sim.stats.lateFraction()},
		{"buffer", sim.stats.idleFraction(sim)},
		{"moves_per_hour", sim.stats.movesPerHour(sim)},
	}
}

// dataCentreOutage takes a data centre out of service for three minutes while
// the fleet is full.
func dataCentreOutage(sim *simulation) []measurement {
	sim.assignSpares()
	sim.saturate(func(int) func(*rand.Rand) time.Duration { return exponentialRunTime },
		func(int) time.Duration { return runTime })
	sim.run(time.Minute)
	sim.setInService("dc1", false)
	sim.run(3 * time.Second)
	sim.resetStats()
	sim.run(3 * time.Minute)
	outageStarts := sim.stats.startsIn["dc1"]
	remaining := sim.size.instances - sim.size.instances/sim.size.centres
	outUtilization := sim.stats.utilization(remaining)
	sim.setInService("dc1", true)
	sim.run(3 * time.Second)
	sim.resetStats()
	sim.run(time.Minute)
	backUtilization := sim.stats.utilization(sim.size.instances)
	return []measurement{
		{"starts_after_3s", float64(outageStarts)},
		{"work_done", min(outUtilization, backUtilization)},
	}
}

// maintenanceWave makes all instances due for maintenance at once. Two instances
// fail for ten minutes during the wave.
func maintenanceWave(sim *simulation) []measurement {
	for p := range sim.size.services {
		sim.addStream(stream{team: teamName(p), pool: poolName(p), rate: constantRate(20), peak: 20})
	}
	sim.run(10 * time.Minute)
	doc := sim.state.Snapshot().Document
	m := configuration.Maintenance{Interval: configuration.Duration(3 * time.Hour)}
	sim.configure(doc.Apply(configuration.Delta{Maintenance: &m}))
	sim.publish()
	sim.run(2*time.Hour - 10*time.Minute)
	sim.resetStats()
	start := sim.now
	for i, name := range []string{"i0003", "i0010"} {
		sim.after(time.Duration(4+6*i)*time.Minute, func() { sim.workers[name].down = true; sim.publish() })
		sim.after(time.Duration(14+6*i)*time.Minute, func() { sim.workers[name].down = false; sim.publish() })
	}
	for sim.oldestMaintained().Before(start) && sim.now.Sub(start) < 6*time.Hour {
		sim.run(planInterval)
	}
	return []measurement{
		{"rollout", sim.now.Sub(start).Seconds() / sim.minRollout(start).Seconds()},
		{"budget_overspends", float64(sim.stats.overspends)},
		{"late", sim.stats.lateFraction()},
	}
}

func (sim *simulation) oldestMaintained() time.Time {
	oldest := sim.now
	for _, inst := range sim.latest.Fleet.All() {
		if at := time.Unix(inst.MaintainedAt, 0); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// minRollout returns the shortest possible duration of a maintenance wave: the
// largest pool's instances are drained and rebooted two at a time, as the
// service's budget allows. A failed instance uses one unit of its service's
// budget for ten minutes.
func (sim *simulation) minRollout(time.Time) time.Duration {
	counts := map[string]int{}
	largest := 0
	for _, inst := range sim.latest.Fleet.All() {
		if inst.Pool != sparePool {
			counts[inst.Pool]++
			largest = max(largest, counts[inst.Pool])
		}
	}
	cycle := rebootTime + 2*runTime + 2*planInterval
	cycles := (largest + 1) / 2
	return time.Duration(cycles)*cycle + 10*time.Minute/2
}

// demandShock raises the demand for one service at once from zero to more than
// its pool can serve.
func demandShock(sim *simulation) []measurement {
	for p := 1; p < sim.size.services; p++ {
		sim.addStream(stream{team: teamName(p), pool: poolName(p), rate: constantRate(30), peak: 30})
	}
	sim.run(30 * time.Minute)
	sim.resetStats()
	begin := sim.now.Sub(epoch)
	rate := 100.0
	sim.addStream(stream{team: teamName(0), pool: poolName(0), peak: rate, rate: func(since time.Duration) float64 {
		if since < begin {
			return 0
		}
		return rate
	}})
	sim.run(2 * time.Minute)
	first := sim.stats.lateFraction()
	sim.resetStats()
	sim.run(10 * time.Minute)
	return []measurement{
		{"late_first_2min", first},
		{"late_after", sim.stats.lateFraction()},
		{"moves", float64(sim.stats.moves)},
	}
}

// failingWorkers makes two workers fail every task that starts on them, within
// 10 ms.
func failingWorkers(sim *simulation) []measurement {
	for p := range sim.size.services {
		sim.addStream(stream{team: teamName(p), pool: poolName(p), rate: constantRate(25), peak: 25})
	}
	sim.run(time.Minute)
	for _, name := range []string{"i0002", "i0009"} {
		sim.workers[name].failsAll = true
		sim.failing = append(sim.failing, name)
	}
	sim.resetStats()
	sim.run(10 * time.Minute)
	return []measurement{
		{"failed", float64(sim.stats.failed) / float64(sim.stats.starts)},
		{"late", sim.stats.lateFraction()},
	}
}
