package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// judge names one promise that the checker judges.
type judge string

// The judges.
const (
	judgeOneRun    judge = "one run of a task at a time"
	judgeAcked     judge = "no run after an acknowledged end"
	judgeRefused   judge = "a refused job never runs"
	judgeCancelled judge = "a cancelled job doesn't start"
	judgeOrder     judge = "steps in order"
	judgeDue       judge = "not before the due time"
	judgeCapacity  judge = "capacity of instances"
	judgeLabel     judge = "labels"
	judgePerServer judge = "tasks per instance"
	judgeTeam      judge = "limit of the team"
	judgeAttempts  judge = "number of attempts"
	judgeStates    judge = "states never go back"
	judgeKnown     judge = "accepted jobs are known"
	judgeRepeated  judge = "a repeated submission is one job"
	judgeMoved     judge = "jobs of a queue that moves"
	judgeDrain     judge = "nothing starts at a draining instance"
	judgeKey       judge = "a withdrawn key is refused"
	judgeEnds      judge = "accepted jobs end"
	// judgeAckedAfterRestart is judgeAcked for ends that a later incarnation than the
	// first listed, judgeRestarted judgeOneRun for runs that were under way at a restarted
	// instance when it was cut off.
	judgeAckedAfterRestart judge = "no run after an end acknowledged to a restarted instance"
	judgeRestarted         judge = "one run across restarts"
	judgeLongRunning       judge = "long-running tasks run"
	// judgeClocks is judgeOneRun for runs that lapsed behind a cut while clocks were apart.
	judgeClocks judge = "one run across owners whose clocks are apart"
	// judgeGangs is judgeAttempts for gangs of which several members failed in one run.
	judgeGangs judge = "a gang's run counts once"
)

var allJudges = []judge{
	judgeOneRun, judgeAcked, judgeRefused, judgeCancelled, judgeOrder, judgeDue, judgeCapacity, judgeLabel, judgePerServer,
	judgeTeam, judgeAttempts, judgeStates, judgeKnown, judgeRepeated, judgeMoved, judgeDrain, judgeKey, judgeEnds,
	judgeAckedAfterRestart, judgeRestarted, judgeLongRunning, judgeClocks, judgeGangs,
}

// Floors of a seed's work, below which it has shown nothing.
const (
	minStarts    = 100
	minAccepted  = 30
	minCompleted = 20
)

// counts is what a seed has done.
type counts struct {
	starts, accepted, completed int
	// kinds counts the accepted jobs by kind.
	kinds map[jobKind]int
	// drawn and effective count the faults by kind, as drawn and as seen to take effect.
	drawn, effective map[string]int
	// exercised counts by judge what it judged.
	exercised map[judge]int
}

// kindsOfEachSeed returns the kinds of which each seed must have an accepted job.
func kindsOfEachSeed() []jobKind { return append(slices.Clone(rareKinds), longRunning) }

// shortfalls returns what a seed's work lacks.
func (c counts) shortfalls() []string {
	var out []string
	for _, f := range []struct {
		name       string
		count, min int
	}{{"starts", c.starts, minStarts}, {"accepted jobs", c.accepted, minAccepted}, {"completed jobs", c.completed, minCompleted}} {
		if f.count < f.min {
			out = append(out, fmt.Sprintf("%d %s, want at least %d", f.count, f.name, f.min))
		}
	}
	for _, kind := range kindsOfEachSeed() {
		if c.kinds[kind] == 0 {
			out = append(out, fmt.Sprintf("no job of the kind %q was accepted", kind))
		}
	}
	for _, kind := range sortedKeys(c.drawn) {
		if c.effective[kind] == 0 {
			out = append(out, fmt.Sprintf("%q was drawn %d times and never took effect", kind, c.drawn[kind]))
		}
	}
	return out
}

// notExercised returns the judges that had nothing to judge.
func (c counts) notExercised() []judge {
	return slices.DeleteFunc(slices.Clone(allJudges), func(j judge) bool { return c.exercised[j] > 0 })
}

// text returns the counts as key=value pairs.
func (c counts) text() string {
	out := fmt.Sprintf("starts=%d accepted=%d completed=%d", c.starts, c.accepted, c.completed)
	var faults []string
	for _, kind := range sortedKeys(c.drawn) {
		faults = append(faults, fmt.Sprintf("%s:%d/%d", strings.ReplaceAll(kind, " ", "_"), c.effective[kind], c.drawn[kind]))
	}
	return out + " faults=" + strings.Join(faults, ",")
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Bounds of the judges: the time promised to users, and the time for which the faults of
// a seed may keep the daemons out of touch.
const (
	// leeway covers a fault of up to 4.3 s, the leases that a takeover waits for (6 s) and
	// the time until a daemon counts as in touch again.
	leeway        = 12 * time.Second
	cancelTimeout = leeway
	drainTimeout  = leeway
	keyTimeout    = leeway
	// earlyStart is how far the clocks of daemons and instances may differ; they are one
	// machine's here, so it is the platform's bound.
	earlyStart = 250 * time.Millisecond
	// teamOverage is the part of a team's limit by which it may be exceeded.
	teamOverage = 0.1
)
