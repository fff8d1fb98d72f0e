package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/configuration"
)

const hour = configuration.Duration(time.Hour)

// document returns a valid document without findings, close to several bounds. The 8
// engraving instances reboot for 24 h, 2 at once, which takes the whole interval. The
// pool can grow to its minimum of 4 plus the 6 instances that all pools have above
// their minimum sizes.
func document() *configuration.Document {
	return &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"tr1": {Region: "t", InService: true}, "tr2": {Region: "t"}},
		Services: map[string]configuration.Service{
			"engraving": {AvailabilityObjective: 0.99, LatencyObjective: hour, DailyBudget: 2, SurviveDataCentre: true},
		},
		Pools: map[string]configuration.Pool{
			"engraving": {Service: "engraving", Size: 8, MinSize: 4, MaxSize: 10},
			"spare":     {Size: 3, MinSize: 1, MaxSize: 100, Spare: true},
		},
		Queues: map[string]configuration.Queue{
			"engraving": {Service: "engraving", Pool: "engraving", RunTime: hour, MaxBody: 1, Depth: 1},
			"samples":   {Service: "engraving", Pool: "engraving", RunTime: hour, MaxBody: 1, Depth: 1, Open: true, OpenTeam: "walk-in"},
		},
		Teams:       map[string]configuration.Team{"vets": {Share: 1, Limit: 1}, "walk-in": {Share: 1, Limit: 1}},
		Keys:        map[string]configuration.Key{"vets-1": {Team: "vets", Hash: configuration.HexKeyHash("s")}},
		Maintenance: configuration.Maintenance{Interval: 96 * hour, Reboot: 24 * hour},
	}
}

// edit returns a change of one entry of a document.
func edit[T any](section func(*configuration.Document) map[string]T, name string, change func(*T)) func(*configuration.Document) {
	return func(doc *configuration.Document) {
		entry := section(doc)[name]
		change(&entry)
		section(doc)[name] = entry
	}
}

func both(changes ...func(*configuration.Document)) func(*configuration.Document) {
	return func(doc *configuration.Document) {
		for _, change := range changes {
			change(doc)
		}
	}
}

func budget(n int) func(*configuration.Document) {
	return edit(func(d *configuration.Document) map[string]configuration.Service { return d.Services }, "engraving", func(s *configuration.Service) { s.DailyBudget = n })
}

func pool(name string, p configuration.Pool) func(*configuration.Document) {
	return func(doc *configuration.Document) { doc.Pools[name] = p }
}

func queue(name string, change func(*configuration.Queue)) func(*configuration.Document) {
	return edit(func(d *configuration.Document) map[string]configuration.Queue { return d.Queues }, name, change)
}

func limit(n int) func(*configuration.Document) {
	return edit(func(d *configuration.Document) map[string]configuration.Team { return d.Teams }, "vets", func(t *configuration.Team) { t.Limit = n })
}

func hash(h string) func(*configuration.Document) {
	return edit(func(d *configuration.Document) map[string]configuration.Key { return d.Keys }, "vets-1", func(k *configuration.Key) { k.Hash = h })
}

func schedule(interval, reboot configuration.Duration) func(*configuration.Document) {
	return func(doc *configuration.Document) {
		doc.Maintenance = configuration.Maintenance{Interval: interval, Reboot: reboot}
	}
}

// Each rule gives its finding, and no other, for one document and none for a near miss.
// apply accepts both documents, which shows that no rule of apply is repeated here.
func TestRules(t *testing.T) {
	addTeam := func(doc *configuration.Document) { doc.Teams["cats"] = configuration.Team{Share: 1, Limit: 1} }
	addService := func(doc *configuration.Document) {
		doc.Services["etching"] = configuration.Service{AvailabilityObjective: 0.9, LatencyObjective: hour}
	}
	useService := both(addService, budget(2), pool("etching", configuration.Pool{Service: "etching", Size: 2, MinSize: 2, MaxSize: 2}),
		edit(func(d *configuration.Document) map[string]configuration.Service { return d.Services }, "etching", func(s *configuration.Service) { s.DailyBudget = 1 }),
		queue("etching", func(q *configuration.Queue) {
			*q = configuration.Queue{Service: "etching", Pool: "etching", RunTime: hour, MaxBody: 1, Depth: 1}
		}))
	secondPool := pool("second", configuration.Pool{Service: "engraving", MaxSize: 6})
	inService := func(first, second bool) func(*configuration.Document) {
		return func(doc *configuration.Document) {
			doc.DataCentres["tr1"] = configuration.DataCentre{Region: "t", InService: first}
			doc.DataCentres["tr2"] = configuration.DataCentre{Region: "t", InService: second}
		}
	}
	cases := []struct {
		name            string
		shows, nearMiss func(*configuration.Document)
		want            string
	}{
		{"all data centres out of service", inService(false, false), inService(false, true), "contradiction: dataCentres: no data centre"},
		{"one data centre to survive", func(doc *configuration.Document) { delete(doc.DataCentres, "tr2") }, inService(true, false), "contradiction: services.engraving.surviveDataCentre = true"},
		{"service without queues", addService, useService, "no-effect: services.etching: no queue"},
		{"pool without queues", secondPool, both(secondPool, queue("samples", func(q *configuration.Queue) { q.Pool = "second" })), "no-effect: pools.second: no queue"},
		{"pool wider than the fleet", pool("engraving", configuration.Pool{Service: "engraving", Size: 8, MinSize: 4, MaxSize: 11}), pool("engraving", configuration.Pool{Service: "engraving", Size: 8, MinSize: 3, MaxSize: 10}), "contradiction: pools.engraving.maxSize = 11: the sizes and minimum sizes of all pools leave it at most 10"},
		{"budget of the whole service", budget(8), budget(7), "contradiction: services.engraving.dailyBudget = 8: all 8"},
		{"no budget for maintenance", budget(0), both(budget(0), schedule(0, 0)), "contradiction: services.engraving.dailyBudget = 0: maintenance is on"},
		{"budget too small for the interval", schedule(96*hour-1, 24*hour), schedule(96*hour, 24*hour), "contradiction: services.engraving.dailyBudget = 2: 8 instances"},
		{
			"run time too long for the interval",
			both(budget(7), schedule(47*hour, 24*hour), queue("samples", func(q *configuration.Queue) { q.RunTime = 23*hour + 1 })),
			both(budget(7), schedule(47*hour, 24*hour), queue("samples", func(q *configuration.Queue) { q.RunTime = 23 * hour })),
			`contradiction: queues.samples.runTime = "23h0m0.000000001s": a drain`,
		},
		{"team without callers", addTeam, both(addTeam, func(doc *configuration.Document) {
			doc.Keys["cats-1"] = configuration.Key{Team: "cats", Hash: configuration.HexKeyHash("c")}
		}), "no-effect: teams.cats: the team has no key"},
		{"open queue's former team", queue("samples", func(q *configuration.Queue) { q.OpenTeam = "vets" }), queue("engraving", func(q *configuration.Queue) { q.Open, q.OpenTeam = true, "vets" }), "no-effect: teams.walk-in"},
		{"team that may run nothing", limit(0), limit(1), "contradiction: teams.vets.limit = 0: no task of the team starts, but 1 keys and 0 open"},
		{"key of an empty secret", hash(configuration.HexKeyHash("")), hash(configuration.HexKeyHash(" ")), "no-effect: keys.vets-1.hash: it is the hash of an empty secret"},
		{"key that stands for no key", hash(strings.Repeat("0", 64)), hash(strings.Repeat("0", 63) + "1"), "contradiction: keys.vets-1.hash: only zeros"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			doc := document()
			c.shows(doc)
			is.Equal(configuration.Validate(doc), nil)
			findings := Check(doc, nil)
			t.Log(findings)
			is.Equal(len(findings), 1)
			is.True(strings.HasPrefix(findings[0].String(), c.want))

			doc = document()
			c.nearMiss(doc)
			is.Equal(configuration.Validate(doc), nil)
			is.Equal(Check(doc, nil), nil)
		})
	}
}

// Findings come in one order whatever the order of a map, so that two runs can be
// compared, and name the file that holds the entry.
func TestFindingsAreSortedAndNameTheirFiles(t *testing.T) {
	is := is.New(t)
	doc := document()
	for i := range 20 {
		doc.Teams[fmt.Sprintf("t%02d", i)] = configuration.Team{Share: 1, Limit: 1}
	}
	findings := Check(doc, configuration.Origins{"teams.t07": "a.json", "teams.t08": "b.json"})
	is.Equal(len(findings), 20)
	for i, f := range findings {
		is.Equal(f.Path, fmt.Sprintf("teams.t%02d", i))
	}
	is.Equal(findings[7].File, "a.json")
	is.Equal(findings[8].File, "b.json")
}
