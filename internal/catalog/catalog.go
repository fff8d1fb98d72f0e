// Package catalog holds the active configuration (queues, pools, teams and request
// limits) and the operators' records on data centres and maintenance waves. It does
// no I/O. A Catalog is built once and then only read, so readers need no lock.
package catalog

import (
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// Queue accepts jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix are the host and path prefix of the queue's requests.
	Host   string
	Prefix string
	// Pool is the name of the pool whose instances run the jobs.
	Pool string
	// Priority is 0 for the highest.
	Priority int
	// MaxFailures is the number of failed runs of a task at which its job fails; 0
	// means no limit.
	MaxFailures int
	// Stretch and TargetLatency set the objective of a job's latency: Stretch times
	// its critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Public queues accept jobs without a key.
	Public bool
	// Advised queues start tasks only on instances for which the advisor has issued
	// a ticket.
	Advised bool
}

// Route returns the host and path prefix of the queue's requests. They name the queue
// to callers, whatever operators call it.
func (q *Queue) Route() string { return q.Host + q.Prefix }

// Pool is a set of instances that run the tasks of its queues.
type Pool struct {
	Name string
	// Spare marks the spare pool. Its machines are off until they move to another
	// pool.
	Spare bool
	// Guarded instances refuse tasks that don't fit; others start any task.
	Guarded bool
	// HealthPath is the path on an instance that answers 200 while it is healthy.
	HealthPath string
}

// Team is an owner of jobs.
type Team struct {
	Name   string
	Weight float64
	// Limit bounds what the team may have running in the fleet; a resource with 0
	// has no limit.
	Limit job.Resources
}

// Wave is an order to maintain machines within Duration.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// AtOnce limits the machines that are down for the wave at the same time.
	AtOnce int
}

// Limits are the limits of callers' HTTP requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	Teams   map[string]*Team
	Limits  Limits

	// teamByKey holds the names of teams by caller key.
	teamByKey map[string]string
	byHost    map[string]*routes
}

// New returns an empty catalog.
func New(version int64) *Catalog {
	return &Catalog{
		Version:   version,
		Queues:    map[string]*Queue{},
		Pools:     map[string]*Pool{},
		Teams:     map[string]*Team{},
		teamByKey: map[string]string{},
		byHost:    map[string]*routes{},
	}
}

// AddQueue adds a queue. It must not be called once the catalog is shared.
func (c *Catalog) AddQueue(q *Queue) {
	c.Queues[q.Name] = q
	if c.byHost[q.Host] == nil {
		c.byHost[q.Host] = &routes{byPrefix: map[string]*Queue{}}
	}
	c.byHost[q.Host].add(q)
}

// AddTeam adds a team and its keys. It must not be called once the catalog is
// shared.
func (c *Catalog) AddTeam(t *Team, keys []string) {
	c.Teams[t.Name] = t
	for _, key := range keys {
		c.teamByKey[key] = t.Name
	}
}

// Route returns the queue of a host whose prefix is the longest that matches the
// path, and the rest of the path. It returns false if none matches.
func (c *Catalog) Route(host, path string) (*Queue, string, bool) {
	r := c.byHost[host]
	if r == nil {
		return nil, "", false
	}
	q := r.longest(path)
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// TeamOfKey returns the name of the team that a key belongs to.
func (c *Catalog) TeamOfKey(key string) (string, bool) {
	team, ok := c.teamByKey[key]
	return team, ok
}

// OperatorState is the set of the operators' active requests beside the
// configuration.
type OperatorState struct {
	// OutOfService holds the data centres that take no work.
	OutOfService map[string]bool
	// Waves holds the maintenance waves by number.
	Waves map[int64]Wave
}

// OperatorRecord is a decoded record of the operators' topic. One of Catalog,
// DataCentre and Wave is set.
type OperatorRecord struct {
	// Catalog is a new configuration.
	Catalog *Catalog
	// DataCentre is a data centre to take out of service.
	DataCentre string
	// Wave is a maintenance wave.
	Wave *Wave
	// Withdrawn cancels an earlier request for DataCentre or Wave.
	Withdrawn bool
}
