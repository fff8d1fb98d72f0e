package main

import (
	"math"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

// measurement is the value of one measure in one run.
type measurement struct {
	name  string
	value float64
}

// stats holds the counts and sums of a run since its start or the last
// resetStats.
type stats struct {
	start time.Time
	// arrivedWork and lateWork are in slot-seconds: the work of the requests
	// that arrived, and of those among them that started late or never.
	arrivedWork, lateWork float64
	refusals, starts      int
	failed                int
	// urgentWaits holds the waiting times of urgent requests, in seconds.
	urgentWaits []float64
	moves       int
	// idleInstances sums the idle fraction of the instances in service pools,
	// in instance-seconds. busySlots sums the running tasks, in slot-seconds.
	// samples counts the calls of sample, one per second.
	idleInstances, busySlots, samples float64
	// runningByTeam sums the running tasks by team over the samples of the
	// present window; windowSamples is their number.
	runningByTeam map[string]float64
	windowSamples int
	// maxShareGap is the largest difference between a team's part of the
	// fleet and its share, over all teams and windows.
	maxShareGap float64
	// startsIn counts the started tasks by data centre.
	startsIn map[string]int
	// overspent is the largest number of instances by which maintenance
	// exceeded a service's budget.
	overspent int
	// overspends counts the instances whose maintenance was started with no
	// budget left.
	overspends int
}

// shareWindowSeconds is the time over which a team's part of the fleet is
// compared with its share.
const shareWindowSeconds = 30

func newStats() *stats {
	return &stats{runningByTeam: map[string]float64{}, startsIn: map[string]int{}}
}

func (sim *simulation) resetStats() {
	s := newStats()
	s.start = sim.now
	sim.stats = s
}

func (s *stats) recordArrival(t *taskRequest) { s.arrivedWork += t.runTime.Seconds() }

func (s *stats) recordRefusal(t *taskRequest) {
	s.refusals++
	s.lateWork += t.runTime.Seconds()
}

func (s *stats) recordStart(sim *simulation, t *taskRequest, instance string) {
	s.starts++
	wait := sim.now.Sub(t.Arrived)
	if t.Urgent {
		s.urgentWaits = append(s.urgentWaits, wait.Seconds())
	}
	if wait > latencyObjective-runTime {
		s.lateWork += t.runTime.Seconds()
	}
	s.startsIn[sim.instance(instance).DataCentre]++
}

// recordAccepted counts an accepted proposal. It must be called directly after
// the record was folded.
func (s *stats) recordAccepted(sim *simulation, b record.Body) {
	switch b := b.(type) {
	case record.Move:
		s.moves++
	case record.Rebooted:
		sim.workers[b.Instance].rebootEnd = time.Time{}
	case record.Maintain:
		s.checkBudget(sim, b.Instance)
	}
}

func (s *stats) checkBudget(sim *simulation, instance string) {
	doc := sim.latest.Document
	service := doc.Pools[sim.instance(instance).Pool].Service
	if service == "" {
		return
	}
	down := 0
	for _, inst := range sim.state.Snapshot().Fleet.All() {
		inMaintenance := inst.Phase == fleet.Rebooting || inst.Intent == fleet.ToMaintain
		if doc.Pools[inst.Pool].Service == service && (inMaintenance || sim.workers[inst.Name].down) {
			down++
		}
	}
	if over := down - doc.Services[service].DailyBudget; over > 0 {
		s.overspends++
		s.overspent = max(s.overspent, over)
	}
}

// sample adds the present state to the sums. It is called once per second.
func (s *stats) sample(sim *simulation) {
	s.samples++
	for _, inst := range sim.latest.Fleet.All() {
		worker := sim.workers[inst.Name]
		s.busySlots += float64(worker.running)
		if inst.Pool != sparePool && !worker.down {
			s.idleInstances += 1 - float64(worker.running)/slots
		}
	}
	for team, n := range sim.runningByTeam {
		s.runningByTeam[team] += float64(n)
	}
	s.windowSamples++
	if s.windowSamples == shareWindowSeconds {
		s.closeWindow(sim)
	}
}

// closeWindow compares each team's part of the fleet with its share and starts
// the next window.
func (s *stats) closeWindow(sim *simulation) {
	sum := 0.0
	for _, t := range sim.latest.Document.Teams {
		sum += t.Share
	}
	for name, t := range sim.latest.Document.Teams {
		fraction := s.runningByTeam[name] / shareWindowSeconds / float64(sim.size.instances*slots)
		if gap := math.Abs(fraction - t.Share/sum); gap > s.maxShareGap {
			s.maxShareGap = gap
		}
	}
	s.runningByTeam = map[string]float64{}
	s.windowSamples = 0
}

func (s *stats) lateFraction() float64 {
	if s.arrivedWork == 0 {
		return 0
	}
	return s.lateWork / s.arrivedWork
}

func (s *stats) idleFraction(sim *simulation) float64 {
	return s.idleInstances / s.samples / float64(sim.size.instances)
}

// utilization returns the busy fraction of the given number of instances.
func (s *stats) utilization(instances int) float64 {
	return s.busySlots / s.samples / float64(instances*slots)
}

func (s *stats) movesPerHour(sim *simulation) float64 {
	return float64(s.moves) / sim.now.Sub(s.start).Hours()
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
