package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/record"
)

var epoch = time.Unix(1_700_000_010, 0)

// fixture is a control state to which the proposals of planners are folded, as
// daemons do.
type fixture struct {
	t         testing.TB
	now       time.Time
	state     *controlstate.State
	planner   *planner.Planner
	members   []record.MemberID
	seq       map[record.MemberID]uint64
	unhealthy map[string]bool
	// rebooting holds the time at which each reboot ends.
	rebooting map[string]time.Time
	burning   map[string]bool
	demand    map[string]planner.Demand
}

type fixtureConfig struct {
	centres, perCentre, perRack int
	pools                       int
	service                     configuration.Service
	interval                    time.Duration
}

// defaultConfig resembles a user's fleet: 48 instances, five pools of eight,
// and a spare pool of eight.
var defaultConfig = fixtureConfig{
	centres: 3, perCentre: 16, perRack: 4, pools: 5,
	service: configuration.Service{
		AvailabilityObjective: 0.99,
		LatencyObjective:      configuration.Duration(4 * time.Second),
		DailyBudget:           2,
	},
	interval: 21 * 24 * time.Hour,
}

func (c fixtureConfig) document() *configuration.Document {
	size := c.centres * c.perCentre / (c.pools + 1)
	doc := &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Services:    map[string]configuration.Service{},
		Pools:       map[string]configuration.Pool{"spare": {Size: size, Spare: true}},
		Maintenance: configuration.Maintenance{Interval: configuration.Duration(c.interval)},
	}
	for i := range c.centres {
		doc.DataCentres[fmt.Sprintf("dc%d", i)] = configuration.DataCentre{InService: true}
	}
	for i := range c.pools {
		name := fmt.Sprintf("s%d", i)
		doc.Services[name] = c.service
		doc.Pools[fmt.Sprintf("p%d", i)] = configuration.Pool{
			Service: name, Size: size, MinSize: size / 4, MaxSize: 2 * size,
		}
	}
	return doc
}

func newFixture(t testing.TB, c fixtureConfig) *fixture {
	f := &fixture{
		t: t, now: epoch, state: controlstate.New(), planner: planner.New(),
		members:   []record.MemberID{"m0", "m1", "m2"},
		seq:       map[record.MemberID]uint64{},
		unhealthy: map[string]bool{},
		rebooting: map[string]time.Time{},
		burning:   map[string]bool{},
		demand:    map[string]planner.Demand{},
	}
	f.configure(c.document())
	for _, m := range f.members {
		f.fold(m, record.Join{Instance: string(m)})
	}
	for i := range c.centres * c.perCentre {
		centre, k := i%c.centres, i/c.centres
		// Pools of equal size, each spread over all data centres and racks.
		p := (i + i/(c.pools+1)) % (c.pools + 1)
		pool := fmt.Sprintf("p%d", p)
		if p == c.pools {
			pool = "spare"
		}
		f.fold("m0", record.Adopt{
			Instance: fmt.Sprintf("i%04d", i), Pool: pool, Slots: 8,
			DataCentre: fmt.Sprintf("dc%d", centre), Rack: fmt.Sprintf("r%d", k/c.perRack),
			MaintainedAt: epoch.Unix(),
		})
	}
	return f
}

func (f *fixture) fold(author record.MemberID, b record.Body) bool {
	f.seq[author]++
	out, err := f.state.Fold(f.state.Next(), record.Envelope{Author: author, Seq: f.seq[author], Body: b})
	if err != nil {
		f.t.Fatal(err)
	}
	return out.Accepted
}

func (f *fixture) configure(doc *configuration.Document) {
	old := f.state.Snapshot()
	delta, err := configuration.Diff(old.Document, doc).Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	if !f.fold("operator", record.Configure{Base: old.Revision, Delta: delta, Digest: doc.Digest()}) {
		f.t.Fatal("configuration not accepted")
	}
}

// setInService takes a data centre out of service or brings it back.
func (f *fixture) setInService(name string, in bool) {
	f.configure(f.state.Snapshot().Document.Apply(configuration.Delta{
		DataCentres: configuration.Changes[configuration.DataCentre]{
			Set: map[string]configuration.DataCentre{name: {InService: in}},
		},
	}))
}

func (f *fixture) input(self record.MemberID) planner.Input {
	return planner.Input{
		Now: f.now, Snapshot: f.state.Snapshot(), Self: self, LogContact: true,
		Unhealthy: f.unhealthy, Burning: f.burning, Restarted: f.restarted(),
	}
}

// rebootTime is how long a reboot takes.
const rebootTime = time.Minute

func (f *fixture) restarted() map[string]bool {
	over := map[string]bool{}
	for name, end := range f.rebooting {
		over[name] = !f.now.Before(end)
	}
	return over
}

// reboot simulates the platform's side of a planner's reboots.
func (f *fixture) reboot(reboots []planner.Reboot) {
	for _, r := range reboots {
		if _, ok := f.rebooting[r.Instance]; !ok {
			f.rebooting[r.Instance] = f.now.Add(rebootTime)
		}
	}
}

// plan runs the planner for the current proposer and folds its proposals.
func (f *fixture) plan() []record.Body {
	for _, m := range f.members {
		if !planner.IsProposer(f.members, m, f.now) {
			continue
		}
		d := f.planner.Plan(f.input(m))
		f.reboot(d.Reboots)
		if len(d.Records) == 0 {
			continue
		}
		for _, b := range d.Records {
			if !f.fold(m, b) {
				f.t.Fatalf("stale proposal %#v", b)
			}
			if done, ok := b.(record.Rebooted); ok {
				delete(f.rebooting, done.Instance)
			}
		}
		return d.Records
	}
	return nil
}

// reportCleared folds a report of every member that all draining instances are
// clear.
func (f *fixture) reportCleared() {
	at := f.state.Next() - 1
	for _, m := range f.members {
		f.fold(m, record.Report{Folded: at, Cleared: f.state.Snapshot().Fleet.Draining()})
	}
}

// planPeriodSeconds is the time between two rounds of the planner.
const planPeriodSeconds = 5

// run advances the time by d with the present demand and returns the proposals.
func (f *fixture) run(d time.Duration) (records []record.Body) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Second)
		f.planner.Observe(f.now, f.demand)
		if f.now.Unix()%planPeriodSeconds == 0 {
			records = append(records, f.plan()...)
			f.reportCleared()
		}
	}
	return records
}

func (f *fixture) pools() map[string]int {
	counts := map[string]int{}
	for _, inst := range f.state.Snapshot().Fleet.All() {
		counts[inst.Pool]++
	}
	return counts
}

// load sets a pool's demand to the work that keeps this many instances busy.
func (f *fixture) load(pool string, instances float64) {
	work := instances * 8
	f.demand[pool] = planner.Demand{Requests: work, Work: work}
}

func moves(records []record.Body) (out []record.Move) {
	for _, b := range records {
		if m, ok := b.(record.Move); ok {
			out = append(out, m)
		}
	}
	return out
}

// TestNoMovesWithoutEvidence covers the warm-up and an outage of the log: no
// moves are proposed in either.
func TestNoMovesWithoutEvidence(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, defaultConfig)
	is.Equal(len(f.run(time.Minute)), 0)

	f.load("p0", 12)
	for range 180 {
		f.now = f.now.Add(time.Second)
		f.planner.Observe(f.now, f.demand)
	}
	is.Equal(len(f.plan()), 0) // nothing is proposed at the start of a proposer period
	f.now = f.now.Add(10 * time.Second)
	proposers := 0
	for _, m := range f.members {
		in := f.input(m)
		in.LogContact = false
		is.Equal(len(f.planner.Plan(in).Records), 0)
		if len(f.planner.Plan(f.input(m)).Records) > 0 {
			proposers++
		}
	}
	is.Equal(proposers, 1)
}

// TestSustainedDemand checks that a pool grows from the spare pool, and that
// the spare pool is refilled once the demand has ended.
func TestSustainedDemand(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, defaultConfig)
	for i := range 5 {
		f.load(fmt.Sprintf("p%d", i), 3.7)
	}
	f.run(30 * time.Minute)
	initial := f.pools()
	f.load("p0", 9.7)
	grown := moves(f.run(10 * time.Minute))
	is.True(f.pools()["p0"] >= 11) // ten plus the tolerated loss of a rack
	for _, m := range grown {
		is.Equal(m.To, "p0")
	}
	f.load("p0", 3.7)
	f.run(3 * time.Hour)
	is.Equal(f.pools(), initial)
}

// TestShortDemandPeaks checks that no pool moves instances, once settled, under
// peaks of five times the mean for some seconds and a twentieth of the mean in
// between.
func TestShortDemandPeaks(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, defaultConfig)
	var last []record.Body
	for second := range 7200 {
		for i := range 5 {
			busy := 0.1
			if (second/6)%5 == i {
				busy = 10
			}
			f.load(fmt.Sprintf("p%d", i), busy)
		}
		records := f.run(time.Second)
		if second >= 3600 {
			last = append(last, records...)
		}
	}
	is.Equal(len(moves(last)), 0)
	// Without queueing, a pool would need ten plus the tolerated loss of a
	// rack.
	for i := range 5 {
		is.True(f.pools()[fmt.Sprintf("p%d", i)] <= 9)
	}
}

// TestDataCentreOutAndBack checks that a data centre that goes out of service
// and returns causes one set of moves each way: into the pools that are short,
// and back to the sizes from before.
func TestDataCentreOutAndBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, defaultConfig)
	for i := range 5 {
		f.load(fmt.Sprintf("p%d", i), 4.5)
	}
	f.run(2 * time.Hour)
	before := f.pools()
	f.setInService("dc1", false)
	out := moves(f.run(10 * time.Minute))
	is.True(len(out) > 0)
	for _, m := range out {
		is.True(f.state.Snapshot().Fleet.Get(m.Instance).DataCentre != "dc1")
	}
	is.Equal(len(moves(f.run(10*time.Minute))), 0)
	f.setInService("dc1", true)
	f.run(2 * time.Hour)
	is.Equal(f.pools(), before)
}

// TestRacingPlanners lets every member propose from the same snapshot: the fold
// accepts one proposal per instance.
func TestRacingPlanners(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, defaultConfig)
	f.setInService("dc1", false)
	f.now = f.now.Add(time.Hour + 5*time.Second)
	accepted := 0
	var all []record.Body
	for _, m := range f.members {
		for period := range 40 {
			in := f.input(m)
			in.Now = in.Now.Add(time.Duration(period) * 30 * time.Second)
			if records := f.planner.Plan(in).Records; len(records) > 0 {
				all = append(all, records...)
				break
			}
		}
	}
	for i, b := range all {
		if f.fold(f.members[i%3], b) {
			accepted++
		}
	}
	is.Equal(len(all), 3*accepted)
}

func BenchmarkPlan(b *testing.B) {
	big := defaultConfig
	big.centres, big.perCentre, big.pools = 5, 700, 112
	f := newFixture(b, big)
	for i := range 112 {
		f.load(fmt.Sprintf("p%d", i), 10+float64(i%15))
	}
	for range 300 {
		f.now = f.now.Add(time.Second)
		f.planner.Observe(f.now, f.demand)
		f.planner.Plan(f.input("m0"))
	}
	f.setInService("dc1", false)
	in := f.input("m0")
	for len(f.planner.Plan(in).Records) == 0 {
		in.Now = in.Now.Add(10 * time.Second)
	}
	for b.Loop() {
		f.planner.Plan(in)
	}
	b.ReportMetric(float64(len(f.planner.Plan(in).Records)), "proposals")
}
