package main

import (
	"testing"
	"time"
)

// guardedMeasures lists, by scenario, the measures that must meet their aims at
// the size "users".
var guardedMeasures = map[string][]string{
	"full":         {"share_gap", "urgent_p999_s"},
	"out-and-back": {"starts_after_3s", "work_done"},
}

// TestGuardedMeasuresMeetAims measures the full fleet for one minute instead of
// the five of the command.
func TestGuardedMeasuresMeetAims(t *testing.T) {
	short := sizes["users"]
	short.fullDuration = time.Minute
	for _, sc := range scenarios {
		measures := guardedMeasures[sc.name]
		if len(measures) == 0 {
			continue
		}
		t.Run(sc.name, func(t *testing.T) {
			values := map[string]float64{}
			for _, v := range sc.run(newSimulation(short, ours, 1)) {
				values[v.name] = v.value
			}
			for _, name := range measures {
				a := aimOf(sc.name, name, nil)
				if !a.met(values[name]) {
					t.Errorf("%s is %g, the aim is %g", name, values[name], a.limit)
				}
			}
		})
	}
}
