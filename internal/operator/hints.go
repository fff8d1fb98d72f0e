package operator

import (
	"fmt"
	"time"
)

// maxLogAge is the time since a daemon's last read of the log above which a hint
// names the daemon.
const maxLogAge = 3 * time.Second

// hints returns the faults of the fleet, the most severe first, each with what
// to check next.
func hints(o Overview) []string {
	var all []string
	if len(o.Daemons) == 0 {
		return []string{"no daemon is a member: start beryltided and check its log"}
	}
	all = append(all, daemonHints(o)...)
	if o.Revision == 0 {
		all = append(all, "no configuration is active: run beryltide apply")
	}
	for _, dc := range o.DataCentres {
		if !dc.InService {
			all = append(all, fmt.Sprintf("data centre %s is out of service by configuration", dc.Name))
		}
	}
	for _, p := range o.Pools {
		if p.Serving == 0 {
			all = append(all, fmt.Sprintf("pool %s has no serving instance: check its size and the maintenance under way", p.Pool))
		}
	}
	return append(all, teamHints(o)...)
}

func daemonHints(o Overview) []string {
	var all []string
	notReading := 0
	for _, d := range o.Daemons {
		age := time.Duration(d.LogAgeMS) * time.Millisecond
		switch {
		case d.Error != "":
			all = append(all, fmt.Sprintf("%s doesn't answer at %s: check whether its instance is down or unreachable", d.Instance, d.OpsAddr))
		case !d.Ready:
			all = append(all, fmt.Sprintf("%s is not ready: %s", d.Instance, d.NotReady))
		case d.Revision < o.Revision:
			all = append(all, fmt.Sprintf("%s is at revision %d of %d: check its log lag", d.Instance, d.Revision, o.Revision))
		case age > maxLogAge:
			notReading++
			all = append(all, fmt.Sprintf("%s has not read the log for %s", d.Instance, age.Round(time.Second)))
		}
	}
	if notReading == len(o.Daemons) {
		all = append(all, "no daemon can read the log: no change is accepted until the log is available again")
	}
	return all
}

func teamHints(o Overview) []string {
	var all []string
	for _, t := range o.Teams {
		switch {
		case t.Granted > t.Limit:
			all = append(all, fmt.Sprintf("team %s is over its lowered limit: no task of it starts until enough of its tasks have ended", t.Name))
		case t.Waiting > 0 && t.Running >= t.Limit:
			all = append(all, fmt.Sprintf("team %s is at its limit of %d and has requests waiting", t.Name, t.Limit))
		}
	}
	return all
}
