package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/dispatch"
)

// size describes a simulated fleet.
type size struct {
	instances, centres, services int
	// spare is the number of instances of the spare pool.
	spare          int
	teams, daemons int
	// fullDuration is the length of the measurement of a full fleet.
	fullDuration time.Duration
	// share returns the weight of a team.
	share func(team int) float64
}

var sizes = map[string]size{
	// Like the fleets of both users: five services and a spare pool, six teams
	// of which a few are large.
	"users": {
		instances: 48, centres: 3, services: 5, spare: 8, teams: 6, daemons: 8, fullDuration: 5 * time.Minute,
		share: func(i int) float64 { return []float64{35, 30, 15, 10, 6, 4}[i] },
	},
	// The size that the design is meant for, but with fewer daemons.
	"full": {
		instances: 3500, centres: 5, services: 112, spare: 140, teams: 430, daemons: 16, fullDuration: time.Minute,
		share: func(i int) float64 { return 1 + 100/float64(1+i) },
	},
}

const (
	sparePool = "spare"
	// latencyObjective is the latency objective of every service.
	latencyObjective = 4 * time.Second
	// runTime is the mean run time of tasks.
	runTime = time.Second
	// startTimeout is the time from a request's arrival to its StartBy.
	startTimeout = 10 * time.Second
)

func poolName(i int) string { return fmt.Sprintf("p%03d", i) }
func teamName(i int) string { return fmt.Sprintf("t%03d", i) }

// poolNames returns the names of the pools. The static baseline has no spare
// pool.
func (s size) poolNames(p policy) []string {
	var names []string
	for i := range s.services {
		names = append(names, poolName(i))
	}
	if p != static {
		names = append(names, sparePool)
	}
	return names
}

func (s size) document(p policy) *configuration.Document {
	doc := &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Services:    map[string]configuration.Service{},
		Pools:       map[string]configuration.Pool{},
		Teams:       map[string]configuration.Team{},
	}
	for i := range s.centres {
		doc.DataCentres[fmt.Sprintf("dc%d", i)] = configuration.DataCentre{InService: true}
	}
	poolSize := s.instances / (s.services + 1)
	for i := range s.services {
		doc.Services[poolName(i)] = configuration.Service{
			AvailabilityObjective: 0.99,
			LatencyObjective:      configuration.Duration(latencyObjective),
			DailyBudget:           2,
		}
		doc.Pools[poolName(i)] = configuration.Pool{
			Service: poolName(i), Size: poolSize, MinSize: 2, MaxSize: 3 * poolSize,
		}
	}
	if p != static {
		doc.Pools[sparePool] = configuration.Pool{Size: s.spare, Spare: true}
	}
	for i := range s.teams {
		doc.Teams[teamName(i)] = configuration.Team{Share: s.share(i), Limit: s.instances * slots}
	}
	return doc
}

// stream is a source of requests of one team for one pool.
type stream struct {
	team, pool string
	urgent     bool
	// rate returns the requests per second at a time since the start of the
	// simulation.
	rate func(since time.Duration) float64
	// peak is an upper bound of rate.
	peak float64
	// runTime draws the run time of a task.
	runTime func(rng *rand.Rand) time.Duration
	// mainDaemon is the index of the daemon that gets the fraction
	// mainDaemonPart of the requests; the others go to random daemons.
	mainDaemon     int
	mainDaemonPart float64
}

func exponentialRunTime(rng *rand.Rand) time.Duration { return exponential(rng, runTime) }

// addStream starts a stream. The arrivals are drawn by thinning a Poisson
// process with the stream's peak rate.
func (sim *simulation) addStream(s stream) {
	if s.runTime == nil {
		s.runTime = exponentialRunTime
	}
	var next func()
	next = func() {
		if sim.rng.Float64()*s.peak < s.rate(sim.now.Sub(epoch)) {
			sim.arrive(s)
		}
		sim.after(exponential(sim.rng, time.Duration(float64(time.Second)/s.peak)), next)
	}
	sim.after(exponential(sim.rng, time.Duration(float64(time.Second)/s.peak)), next)
}

func (sim *simulation) arrive(s stream) {
	d := sim.daemons[sim.rng.IntN(len(sim.daemons))]
	if sim.rng.Float64() < s.mainDaemonPart {
		d = sim.daemons[s.mainDaemon%len(sim.daemons)]
	}
	t := &taskRequest{runTime: s.runTime(sim.rng)}
	t.Request = dispatch.Request{
		Team: s.team, Pool: s.pool, Queue: s.team + "/" + s.pool, Urgent: s.urgent,
		Cost: dispatch.Slot, Arrived: sim.now, StartBy: sim.now.Add(startTimeout), Value: t,
	}
	d.submit(t)
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// rotatingPeaks returns the rate of queue index out of count queues whose demand
// peaks follow each other. The rate is five times the mean during peakDuration
// and a twentieth of the mean between peaks.
func rotatingPeaks(mean float64, index, count int, peakDuration time.Duration) func(time.Duration) float64 {
	// The average rate equals mean when peaks of five times the mean take
	// (1-1/20)/(5-1/20) of the time.
	cycle := time.Duration(float64(peakDuration) / ((1 - 0.05) / (5 - 0.05)))
	shift := time.Duration(float64(cycle) * float64(index) / float64(count))
	return func(since time.Duration) float64 {
		phase := math.Mod((since + shift).Seconds(), cycle.Seconds())
		if phase < peakDuration.Seconds() {
			return 5 * mean
		}
		return mean / 20
	}
}
