package configcheck

import (
	"encoding/json"
	"fmt"

	"github.com/beryltide/beryltide/internal/configuration"
)

// checker collects the findings of one document.
type checker struct {
	doc      *configuration.Document
	use      use
	findings []Finding
}

func (c *checker) add(kind Kind, path, value, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Path: path, Value: value, Problem: fmt.Sprintf(format, args...)})
}

// dataCentres finds a configuration under which nothing can start: a data centre
// that it doesn't name is out of service.
func (c *checker) dataCentres() {
	for _, dc := range c.doc.DataCentres {
		if dc.InService {
			return
		}
	}
	if len(c.doc.Queues) > 0 {
		c.add(Contradiction, "dataCentres", "", "no data centre is in service, so no task of any queue starts")
	}
}

func (c *checker) service(name string, s configuration.Service) {
	path := "services." + name
	if c.use.queuesOfService[name] == 0 {
		c.add(NoEffect, path, "", "no queue belongs to the service, so its objectives apply to nothing")
	}
	if s.SurviveDataCentre && len(c.doc.DataCentres) < 2 {
		c.add(Contradiction, path+".surviveDataCentre", "true", "there is no second data centre, so the loss of one leaves no instance")
	}
	if size := c.use.sizeOfService[name]; size > 0 {
		c.budget(path+".dailyBudget", s.DailyBudget, size)
	}
}

// budget compares a service's budget of unavailable instances with the size of
// its pools and with the maintenance schedule.
func (c *checker) budget(path string, budget, size int) {
	if budget >= size {
		c.add(Contradiction, path, show(budget), "all %d instances of the service's pools may be unavailable at once", size)
	}
	m := c.doc.Maintenance
	if m.Interval == 0 {
		return
	}
	if budget == 0 {
		c.add(Contradiction, path, show(budget), "maintenance is on, but the budget lets no instance of the service be rebooted")
		return
	}
	// Floating point, since the product of the largest valid values overflows int64.
	needed := float64(size) * float64(m.Reboot) / float64(budget)
	if needed > float64(m.Interval) {
		c.add(Contradiction, path, show(budget), "%d instances with reboots of %s, at most %d at once, take longer than the maintenance interval of %s", size, m.Reboot.D(), budget, m.Interval.D())
	}
}

func (c *checker) pool(name string, p configuration.Pool) {
	// The spare pool also takes the instances that no other pool has a place for,
	// so the sizes say nothing about how many it can hold.
	if p.Spare {
		return
	}
	path := "pools." + name
	if c.use.queuesOfPool[name] == 0 {
		c.add(NoEffect, path, "", "no queue uses the pool, so its instances get no task")
	}
	reachable := p.MinSize + c.use.aboveMinimum
	if p.MaxSize > reachable {
		c.add(Contradiction, path+".maxSize", show(p.MaxSize), "the sizes and minimum sizes of all pools leave it at most %d instances", reachable)
	}
}

// queue compares a run time with the maintenance schedule: an instance drains, for as
// long as its tasks run, before it reboots. A run time above the service's latency
// objective isn't a finding: it is the longest that a task may run, not the usual time.
func (c *checker) queue(name string, q configuration.Queue) {
	if m := c.doc.Maintenance; m.Interval > 0 && q.RunTime+m.Reboot > m.Interval {
		c.add(Contradiction, "queues."+name+".runTime", show(q.RunTime), "a drain for as long and a reboot of %s take longer than the maintenance interval of %s", m.Reboot.D(), m.Interval.D())
	}
}

func (c *checker) team(name string, t configuration.Team) {
	path := "teams." + name
	keys, open := c.use.keysOfTeam[name], c.use.openQueuesOf[name]
	if keys == 0 && open == 0 {
		c.add(NoEffect, path, "", "the team has no key and is no queue's open team, so it has no requests")
		return
	}
	if t.Limit == 0 {
		c.add(Contradiction, path+".limit", "0", "no task of the team starts, but %d keys and %d open queues admit its requests", keys, open)
	}
}

// Hashes that belong to requests without a key.
var (
	hashOfEmptySecret = configuration.HexKeyHash("")
	hashOfNoKey       = configuration.KeyHash{}.String()
)

func (c *checker) key(name string, k configuration.Key) {
	path := "keys." + name + ".hash"
	switch k.Hash {
	case hashOfEmptySecret:
		c.add(NoEffect, path, "", "it is the hash of an empty secret, which counts as no key, so it never matches")
	case hashOfNoKey:
		c.add(Contradiction, path, "", "only zeros stand for a request without a key, so queues that aren't open admit everyone as team %s", k.Team)
	}
}

// show returns a value as the files have it.
func show(value any) string {
	// Numbers and durations always encode.
	data, _ := json.Marshal(value)
	return string(data)
}
