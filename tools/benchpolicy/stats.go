package main

import (
	"math"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

// measurement is one measure of one run.
type measurement struct {
	name  string
	value float64
}

// stats are the sums of one run. reset begins them anew after a warm-up.
type stats struct {
	start time.Time
	// work is in slot-seconds: of requests that arrived, of those that
	// started late or never, and of those that ended.
	arrivedWork, lateWork float64
	refusals, starts      int
	failed                int
	// urgentWaits are in seconds.
	urgentWaits []float64
	moves       int
	// idleInstances sums the idleInstances part of instances in service pools, in
	// instance-samples; busySlots sums slot-samples; samples counts samples.
	idleInstances, busySlots, samples float64
	// runningByTeam sums running tasks by team over the present window.
	runningByTeam map[string]float64
	windowSamples int
	// maxShareGap is the largest of any team in any window.
	maxShareGap float64
	// startsIn counts the starts by data centre.
	startsIn map[string]int
	// overspent is the largest number of instances by which maintenance
	// exceeded a service's budget.
	overspent int
	// overspends counts the maintenance begun with no budget left.
	overspends int
}

// shareWindowSeconds is the time over which nearness to share is taken, in seconds.
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

// recordAccepted notes an accepted proposal, just after it was folded.
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

// sample runs once a second.
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

// closeWindow compares each team with its share of the fleet.
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

// utilization is the busy part of the given number of instances.
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
