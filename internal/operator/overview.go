package operator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/beryltide/beryltide/internal/status"
)

// Overview is the state of the fleet, merged from the status of all daemons.
type Overview struct {
	// Revision is the highest revision that is active at a daemon.
	Revision uint64 `json:"revision"`
	// Head is the offset of the next record of the log, according to the daemon
	// that has read furthest.
	Head        int64               `json:"head"`
	Daemons     []DaemonOverview    `json:"daemons"`
	DataCentres []status.DataCentre `json:"dataCentres"`
	Pools       []PoolOverview      `json:"pools"`
	Teams       []status.Team       `json:"teams"`
	Waves       []WaveOverview      `json:"waves"`
	// Hints are the faults found, each with what to check next.
	Hints []string `json:"hints"`
}

// DaemonOverview is the state of one daemon.
type DaemonOverview struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	OpsAddr    string `json:"opsAddr"`
	// Error is the reason why the query to the daemon failed.
	Error    string `json:"error,omitempty"`
	Ready    bool   `json:"ready"`
	NotReady string `json:"notReady,omitempty"`
	Revision uint64 `json:"revision"`
	// Lag is the number of records between the daemon and Head.
	Lag int64 `json:"lag"`
	// LogAgeMS is the time since it last read the log, in milliseconds.
	LogAgeMS int64 `json:"logAgeMs"`
}

// PoolOverview holds the numbers of a pool's instances.
type PoolOverview struct {
	Pool      string `json:"pool"`
	Total     int    `json:"total"`
	Serving   int    `json:"serving"`
	Draining  int    `json:"draining"`
	Rebooting int    `json:"rebooting"`
	// ByDataCentre counts the serving instances.
	ByDataCentre map[string]int `json:"byDataCentre"`
}

// WaveOverview is a maintenance wave in progress.
type WaveOverview struct {
	Wave      string   `json:"wave"`
	Instances []string `json:"instances"`
}

// StatusAnswer is one daemon's answer to a query for its status.
type StatusAnswer struct {
	Status status.Status
	Err    error
}

// FetchStatuses queries all daemons concurrently for their status. The answers
// are in the order of members.
func FetchStatuses(ctx context.Context, client *http.Client, members []status.Member) []StatusAnswer {
	answers := make([]StatusAnswer, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { answers[i].Status, answers[i].Err = FetchStatus(ctx, client, m.OpsAddr) })
	}
	wg.Wait()
	return answers
}

// NewOverview merges the answers of the members. Answers are in the order of
// members.
func NewOverview(members []status.Member, answers []StatusAnswer) Overview {
	o := Overview{}
	newest := status.Status{Next: -1}
	for _, a := range answers {
		if a.Err == nil && a.Status.Next > newest.Next {
			newest = a.Status
		}
		o.Revision = max(o.Revision, a.Status.Revision)
	}
	o.Head = max(newest.Next, 0)
	o.DataCentres = newest.DataCentres
	for i, m := range members {
		o.Daemons = append(o.Daemons, daemonOverview(m, answers[i], o.Head))
	}
	o.Pools = countPools(newest.Instances)
	o.Teams = sumTeams(newest.Teams, answers)
	o.Waves = groupWaves(newest.Instances)
	o.Hints = hints(o)
	return o
}

func daemonOverview(m status.Member, a StatusAnswer, head int64) DaemonOverview {
	d := DaemonOverview{Instance: m.Instance, DataCentre: m.DataCentre, OpsAddr: m.OpsAddr}
	if a.Err != nil {
		d.Error = a.Err.Error()
		return d
	}
	d.Ready = a.Status.Ready
	d.NotReady = a.Status.NotReady
	d.Revision = a.Status.Revision
	d.Lag = head - a.Status.Next
	d.LogAgeMS = a.Status.LogAge
	return d
}

func countPools(instances []status.Instance) []PoolOverview {
	byName := map[string]*PoolOverview{}
	for _, i := range instances {
		p, ok := byName[i.Pool]
		if !ok {
			p = &PoolOverview{Pool: i.Pool, ByDataCentre: map[string]int{}}
			byName[i.Pool] = p
		}
		p.Total++
		switch i.Phase {
		case "serving":
			p.Serving++
			p.ByDataCentre[i.DataCentre]++
		case "draining":
			p.Draining++
		case "rebooting":
			p.Rebooting++
		}
	}
	pools := make([]PoolOverview, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		pools = append(pools, *byName[name])
	}
	return pools
}

// sumTeams returns the teams with Running and Waiting summed over all daemons.
func sumTeams(teams []status.Team, answers []StatusAnswer) []status.Team {
	sums := make([]status.Team, len(teams))
	for i, t := range teams {
		t.Running, t.Waiting = 0, 0
		for _, a := range answers {
			for _, ownTeam := range a.Status.Teams {
				if ownTeam.Name == t.Name {
					t.Running += ownTeam.Running
					t.Waiting += ownTeam.Waiting
				}
			}
		}
		sums[i] = t
	}
	return sums
}

func groupWaves(instances []status.Instance) []WaveOverview {
	byName := map[string][]string{}
	for _, i := range instances {
		if i.Wave != "" {
			byName[i.Wave] = append(byName[i.Wave], i.Name)
		}
	}
	var waves []WaveOverview
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		waves = append(waves, WaveOverview{Wave: name, Instances: byName[name]})
	}
	return waves
}
