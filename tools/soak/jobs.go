package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Sizes of jobs. CPU is in thousandths of a core.
const (
	taskCPU = 1000
	// smallCPU lets one instance run more tasks than it lists ends at once.
	smallCPU   = 5
	smallTasks = 640
	// largeTasks is far over the 256 tasks of one stored part; limitTasks is the most
	// that the product accepts.
	largeTasks = 18_000
	limitTasks = 50_000
	// hopelessCPU is more than any instance has.
	hopelessCPU = 64_000
	gangMembers = 4
	// maxStepTasks is the largest number of tasks that a step may have.
	maxStepTasks = 10_000
)

// jobKind is a kind of job that callers submit.
type jobKind string

// The kinds. Each seed submits all but large and limit ones; pastLease is that of
// restartsInSeries, longRunning that of submitLongRunning.
const (
	plain     jobKind = "plain"
	manyEnds  jobKind = "many ends"
	gang      jobKind = "gang"
	timed     jobKind = "timed"
	perServer jobKind = "per server"
	labelled  jobKind = "labelled"
	failing   jobKind = "failing"
	hopeless  jobKind = "hopeless"
	large     jobKind = "large"
	limit     jobKind = "at the limit"
	pastLease jobKind = "longer than a lease"
)

// rareKinds are submitted once by one caller, at the beginning, in this order.
var rareKinds = []jobKind{manyEnds, hopeless, gang, timed, perServer, labelled, failing}

// stepPlan is one step of a job.
type stepPlan struct {
	count, cpu  int
	after       bool
	gang        bool
	perInstance int
	// longRunning tasks run until their job is cancelled; mayMiss is their budget.
	longRunning bool
	mayMiss     int
	label       string
	// affinity is the rack of the step's data; empty if it has none.
	affinity string
}

// jobPlan is what a caller submits, and how the tasks behave.
type jobPlan struct {
	id      string
	kind    jobKind
	queue   *queue
	payload string
	steps   []stepPlan
	// occurrences, firstDue and interval are those of a timed job.
	occurrences int
	firstDue    time.Time
	interval    time.Duration
	// failures is how many runs of each task, or of a gang, fail before one is done.
	failures int
	// failing is how the runs of a failing gang end; nil for other jobs.
	failing *failingPlan
	// runTime is how long the tasks run, if not as long as the seed's others.
	runTime time.Duration
}

// manyEndsTime lets all tasks of such a job start before the first ends.
const manyEndsTime = 1500 * time.Millisecond

// drawKind draws the kind of a job that isn't a rare one.
func drawKind(random *rand.Rand) jobKind {
	kinds := []jobKind{plain, plain, plain, plain, plain, plain, gang, timed, perServer, labelled, failing}
	return kinds[random.IntN(len(kinds))]
}

// drawPlan draws a job of a kind. The order and number of the draws fix it.
func drawPlan(random *rand.Rand, id string, kind jobKind, q *queue) *jobPlan {
	p := &jobPlan{id: id, kind: kind, queue: q, payload: fmt.Sprint("payload of ", id)}
	first := stepPlan{count: 1 + random.IntN(5), cpu: taskCPU}
	second := stepPlan{count: 1 + random.IntN(3), cpu: taskCPU, after: true}
	p.steps = []stepPlan{first}
	switch kind {
	case plain:
		if random.IntN(3) == 0 {
			p.steps = append(p.steps, second)
		}
	case manyEnds:
		p.steps, p.runTime = []stepPlan{{count: smallTasks, cpu: smallCPU}}, manyEndsTime
	case gang:
		p.steps = []stepPlan{{count: gangMembers, cpu: taskCPU, gang: true}}
		p.failures = random.IntN(2)
	case timed:
		p.occurrences, p.interval = 2+random.IntN(2), time.Duration(300+random.IntN(700))*time.Millisecond
		p.firstDue = time.Now().Add(time.Duration(500+random.IntN(1500)) * time.Millisecond).Truncate(time.Millisecond)
	case perServer:
		p.steps = []stepPlan{{count: 2, cpu: taskCPU, perInstance: 1}}
	case labelled:
		p.steps[0].label = labels[random.IntN(len(labels))]
	case failing:
		p.failures = 1 + random.IntN(q.maxAttempts)
	case hopeless:
		p.steps = []stepPlan{{count: 50, cpu: hopelessCPU}}
	case large, limit:
		total := map[jobKind]int{large: largeTasks, limit: limitTasks}[kind]
		p.steps = nil
		for total > 0 {
			p.steps = append(p.steps, stepPlan{count: min(total, maxStepTasks), cpu: smallCPU})
			total -= maxStepTasks
		}
	}
	return p
}

// mustEnd reports whether the job has to end by itself.
func (p *jobPlan) mustEnd() bool {
	return p.kind != hopeless && p.kind != large && p.kind != limit && p.kind != longRunning
}

// due returns when an occurrence may start; the zero time if at once.
func (p *jobPlan) due(occurrence int) time.Time {
	if p.occurrences == 0 {
		return time.Time{}
	}
	return p.firstDue.Add(time.Duration(occurrence) * p.interval)
}

// body returns the body of the job's submission.
func (p *jobPlan) body() []byte {
	var steps []map[string]any
	for n, s := range p.steps {
		step := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 1, "est_runtime_ms": 300}
		if s.after {
			step["after"] = []int{n - 1}
		}
		if s.gang {
			step["gang_scheduled"] = true
		}
		if s.perInstance > 0 {
			step["anti_affinity"] = s.perInstance
		}
		if s.longRunning {
			step["long_running"], step["may_miss"] = true, s.mayMiss
		}
		if s.label != "" {
			step["requirements"] = s.label
		}
		if s.affinity != "" {
			step["affinity"] = s.affinity
		}
		if p.kind == hopeless {
			step["est_runtime_ms"] = time.Hour.Milliseconds()
		}
		steps = append(steps, step)
	}
	body := map[string]any{"spec": p.payload, "steps": steps}
	if p.occurrences > 0 {
		body["max_runs"], body["start_at_ms"], body["interval_ms"] = p.occurrences, p.firstDue.UnixMilli(), p.interval.Milliseconds()
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return data
}
