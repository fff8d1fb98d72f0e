package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/dispatch"
)

// size is the shape of a fleet.
type size struct {
	instances, centres, services int
	// spare is the number of instances of the spare pool.
	spare          int
	teams, daemons int
	// fullDuration is how long a full fleet is measured.
	fullDuration time.Duration
	// share is each team's weight.
	share func(team int) float64
}

var sizes = map[string]size{
	// Both users: five services and a spare pool, six teams, few large.
	"users": {
		instances: 48, centres: 3, services: 5, spare: 8, teams: 6, daemons: 8, fullDuration: 5 * time.Minute,
		share: func(i int) float64 { return []float64{35, 30, 15, 10, 6, 4}[i] },
	},
	// The size to design for, with fewer daemons than it would have.
	"full": {
		instances: 3500, centres: 5, services: 112, spare: 140, teams: 430, daemons: 16, fullDuration: time.Minute,
		share: func(i int) float64 { return 1 + 100/float64(1+i) },
	},
}

const (
	sparePool = "spare"
	// latencyObjective is every service's latencyObjective objective.
	latencyObjective = 4 * time.Second
	// runTime is the mean run time of tasks.
	runTime = time.Second
	// startTimeout is how long a caller waits for a start.
	startTimeout = 10 * time.Second
)

func poolName(i int) string { return fmt.Sprintf("p%03d", i) }
func teamName(i int) string { return fmt.Sprintf("t%03d", i) }

// poolNames are the pools; the static baseline has no spare pool.
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
	// rate is in requests a second, by the time since the world's start.
	rate func(since time.Duration) float64
	// peak bounds rate from above.
	peak float64
	// runTime draws a runTime time.
	runTime func(rng *rand.Rand) time.Duration
	// mainDaemon is the daemon that gets homePart of the requests.
	mainDaemon     int
	mainDaemonPart float64
}

func exponentialRunTime(rng *rand.Rand) time.Duration { return exponential(rng, runTime) }

// addStream begins a stream, by thinning a Poisson process of its peak rate.
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

// rotatingPeaks rises and falls in turn: a queue asks five times its mean for some
// seconds, and about a twentieth of it between.
func rotatingPeaks(mean float64, index, count int, peakDuration time.Duration) func(time.Duration) float64 {
	// The mean comes out with peaks of five means in (1-1/20)/(5-1/20) of
	// the time.
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
