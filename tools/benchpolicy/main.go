// Command benchpolicy compares the decisions of packages dispatch and planner
// with those of two baselines, in virtual time and with fixed seeds.
//
// It prints one line of key=value pairs for each measure of each scenario. The
// baselines are static pools with first-in-first-out queues and a limit for
// each daemon ("static"), and a planner without hysteresis ("greedy").
// Arrivals, workers and the exchange of loads among daemons are simulated; the
// delay of the log is constant.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

func main() {
	size := flag.String("size", "users", "size to measure: users or full")
	onlyScenario := flag.String("scenario", "", "scenario to measure; empty for all")
	flag.Parse()
	s, ok := sizes[*size]
	if !ok {
		fmt.Fprintf(os.Stderr, "benchpolicy: unknown size %q\n", *size)
		os.Exit(2)
	}
	for _, sc := range scenarios {
		if *onlyScenario != "" && *onlyScenario != sc.name || sc.usersOnly && *size != "users" {
			continue
		}
		for _, r := range measure(sc, s, 1) {
			fmt.Println(r.line(*size))
		}
	}
}

// result holds the values of one measure of a scenario, by policy.
type result struct {
	scenario, measure string
	values            map[policy]float64
	// aim is the target of the policy ours, nil if the measure has none. It may
	// depend on the values of the baselines.
	aim *aim
}

// aim is the target for a measure of the policy ours.
type aim struct {
	limit float64
	// atLeast makes limit a lower bound instead of an upper one.
	atLeast bool
}

func (a aim) met(v float64) bool {
	if a.atLeast {
		return v >= a.limit
	}
	return v <= a.limit
}

func (r result) line(size string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "size=%s scenario=%s measure=%s", size, r.scenario, r.measure)
	for _, p := range policies {
		if v, ok := r.values[p]; ok {
			fmt.Fprintf(&b, " %s=%.4g", p, v)
		}
	}
	if r.aim != nil {
		fmt.Fprintf(&b, " aim=%.4g met=%t", r.aim.limit, r.aim.met(r.values[ours]))
	}
	return b.String()
}

// measure runs a scenario under each policy and returns its measures in the
// order in which the scenario reports them.
func measure(sc scenario, s size, seed uint64) []result {
	byName := map[string]*result{}
	var order []string
	for _, p := range policies {
		sim := newSimulation(s, p, seed)
		for _, v := range sc.run(sim) {
			r, ok := byName[v.name]
			if !ok {
				r = &result{scenario: sc.name, measure: v.name, values: map[policy]float64{}}
				byName[v.name] = r
				order = append(order, v.name)
			}
			r.values[p] = v.value
		}
	}
	var out []result
	for _, name := range order {
		r := byName[name]
		r.aim = aimOf(sc.name, name, r.values)
		out = append(out, *r)
	}
	return out
}
