// Package configuration holds the document in which operators describe the
// fleet: data centres, services, pools, queues, teams, keys and maintenance.
//
// It decodes and validates documents, computes and applies the deltas between
// revisions, and computes digests. It does no I/O: callers pass the bytes of
// files with their names, which appear in its errors.
package configuration

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Document is a complete configuration.
type Document struct {
	DataCentres map[string]DataCentre `json:"dataCentres"`
	Services    map[string]Service    `json:"services"`
	Pools       map[string]Pool       `json:"pools"`
	Queues      map[string]Queue      `json:"queues"`
	Teams       map[string]Team       `json:"teams"`
	Keys        map[string]Key        `json:"keys"`
	Maintenance Maintenance           `json:"maintenance"`
}

// DataCentre is a failure domain that operators can take out of service.
type DataCentre struct {
	Region    string `json:"region"`
	InService bool   `json:"inService" required:"true"`
}

// Service holds the objectives of its queues and pools.
type Service struct {
	// AvailabilityObjective is the required fraction of good answers, greater than
	// 0 and less than 1.
	AvailabilityObjective float64 `json:"availabilityObjective"`
	// LatencyObjective is the time within which an answer counts as good.
	LatencyObjective Duration `json:"latencyObjective"`
	// DailyBudget is the number of instances of the service that may be
	// unavailable at once for maintenance and failures together.
	DailyBudget int `json:"dailyBudget"`
	// SurviveDataCentre sizes the service's buffer for the loss of one data
	// centre instead of one rack.
	SurviveDataCentre bool `json:"surviveDataCentre"`
}

// Pool is a set of instances that serve the queues of one service.
type Pool struct {
	// Service is empty for the spare pool.
	Service string `json:"service,omitempty"`
	// Size is the number of instances at normal demand.
	Size int `json:"size"`
	// MinSize and MaxSize bound the size that the planner may choose.
	MinSize int `json:"minSize"`
	MaxSize int `json:"maxSize"`
	// Spare marks the spare pool, from which instances are assigned to other
	// pools. Exactly one pool is spare.
	Spare bool `json:"spare,omitempty"`
}

// Queue accepts tasks of one kind.
type Queue struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// Idempotent allows a task to be started again after a failure.
	Idempotent bool `json:"idempotent"`
	// Urgent places the queue's tasks before other tasks, within their team's
	// limit and share.
	Urgent bool `json:"urgent"`
	// Open admits requests without a key. They are charged to OpenTeam.
	Open     bool   `json:"open"`
	OpenTeam string `json:"openTeam,omitempty"`
	// RunTime is the declared maximum run time of a task.
	RunTime Duration `json:"runTime"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"maxBody"`
	// Depth is the maximum number of waiting requests in one daemon.
	Depth int `json:"depth"`
}

// LongestRun returns the longest run time of all queues.
func (doc *Document) LongestRun() time.Duration {
	longest := time.Duration(0)
	for _, q := range doc.Queues {
		longest = max(longest, q.RunTime.D())
	}
	return longest
}

// Team is a group of callers on whose behalf tasks run.
type Team struct {
	// Share is the team's weight among all teams when the fleet is full.
	Share float64 `json:"share"`
	// Limit is the maximum number of the team's tasks running at once,
	// fleet-wide.
	Limit int `json:"limit"`
}

// Key authorizes requests on behalf of a team. Only the hash of its secret is
// stored.
type Key struct {
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret in hexadecimal.
	Hash string `json:"hash" secret:"true"`
}

// Maintenance is the schedule of rolling reboots.
type Maintenance struct {
	// Interval is the time within which each instance is rebooted once; zero
	// turns maintenance off.
	Interval Duration `json:"interval"`
	// Reboot is the expected duration of a reboot.
	Reboot Duration `json:"reboot"`
	// Paused stops new drains.
	Paused bool `json:"paused"`
}

// Duration is a time.Duration written as text with its unit, such as "1.5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. The value must be a string that
// has a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Errorf("duration %s is not text with a unit, such as \"1.5s\"", b)
	}
	v, err := parseDuration(s)
	if err != nil {
		return err
	}
	*d = v
	return nil
}

func parseDuration(s string) (Duration, error) {
	v, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Errorf("duration %q needs a number and a unit, such as \"1.5s\"", s)
	}
	return Duration(v), nil
}
