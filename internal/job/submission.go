// Package job holds the state of one job: its steps and tasks, the order in which
// they may run, the effect of each run's end, and the state that callers see. It
// does no I/O, reads no clock (times are parameters) and depends on no other
// package of the program.
package job

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Resources is an amount of each resource: what a task needs, or an instance has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in MB.
	Memory int
	// GPU counts accelerators.
	GPU int
}

// Fits reports whether free covers r in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: n * r.CPU, Memory: n * r.Memory, GPU: n * r.GPU}
}

// TimesIn returns how many times r fits into what is free; 0 for a need of nothing.
func (r Resources) TimesIn(free Resources) int {
	times := math.MaxInt
	for _, d := range [][2]int{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.GPU, free.GPU}} {
		if d[0] > 0 {
			times = min(times, max(d[1], 0)/d[0])
		}
	}
	if times == math.MaxInt {
		return 0
	}
	return times
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is the need of each task.
	Need Resources
	// Estimate is the submitter's estimate of a task's run time; 0 if unknown.
	Estimate time.Duration
	// After lists the indexes of the earlier steps that this one depends on.
	After []int
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool
	// Gang tasks run only together and end together.
	Gang bool
	// SameRack tasks run slower when spread over racks.
	SameRack bool
	// Labels must all be present on the instance.
	Labels []string
	// Rack is the rack of the step's data; empty if it doesn't matter.
	Rack string
	// PerInstance limits the tasks of the step on one instance; 0 means no limit.
	PerInstance int
	// Duplicates allows several runs of a task at the same time.
	Duplicates bool
	// Lasting tasks are long-running: they run until the job is cancelled.
	Lasting bool
	Image   string
	// Target is the bound of a long-running task's tail latency; 0 if none.
	Target time.Duration
	// Fills marks backfill tasks, which use CPU that other tasks leave idle.
	Fills bool
	// MayMiss is the disruption budget: a long-running task is stopped to empty an
	// instance only while fewer of the step's other tasks are down; 0 means no limit.
	MayMiss int
}

// Allocation returns what a task of the step takes from an instance's capacity: its
// need, without CPU for a backfill task.
func (s Step) Allocation() Resources {
	if s.Fills {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// coresPerGPU is how many cores an accelerator counts as, by the users' prices.
const coresPerGPU = 8

// CoreSeconds returns the work of one task of the step that takes the given time.
func (s Step) CoreSeconds(d time.Duration) float64 {
	return d.Seconds() * (float64(s.Need.CPU)/1000 + coresPerGPU*float64(s.Need.GPU))
}

// Submission is a job as its caller submitted it.
type Submission struct {
	ID    string
	Queue string
	// Route is the host and path prefix of the queue's requests.
	Route string
	Pool  string
	// Team is empty for queues that are open to all.
	Team    string
	Payload string
	Steps   []Step
	// Occurrences is how often the steps run; 0 means once, immediately.
	Occurrences int
	// FirstDue is the Unix millisecond at which occurrence 0 is due.
	FirstDue int64
	// IntervalMS is the time between two due times, in milliseconds.
	IntervalMS int64
	// MaxFailures is the queue's number of failed runs of a task at which the job fails;
	// NoMaxFailures if it had none, 0 if an earlier version stored the job.
	MaxFailures int
	// Advised means that the queue starts tasks only with an advisor's ticket.
	Advised bool
	// AcceptedAt is the Unix millisecond at which a daemon accepted the job.
	AcceptedAt int64
}

// NoMaxFailures is the MaxFailures of a job whose tasks may fail any number of times.
const NoMaxFailures = -1

// MaxSteps is the highest number of steps of a job.
const MaxSteps = 256

// Limits of a submission. The payload is in bytes.
const (
	idLength     = 16
	maxPayload   = 4000
	maxStepTasks = 10_000
)

// QueueRoute returns the route that names the queue to callers. Submissions stored by
// earlier versions have none, and are named by their queue.
func (s *Submission) QueueRoute() string {
	if s.Route == "" {
		return s.Queue
	}
	return s.Route
}

// Work returns the estimated work of one occurrence, in core-seconds.
func (s *Submission) Work() float64 {
	var work float64
	for _, step := range s.Steps {
		work += step.CoreSeconds(step.Estimate) * float64(step.Count)
	}
	return work
}

// CriticalPath returns the length of the longest chain of steps, with the given run time
// of a step's tasks.
func (s *Submission) CriticalPath(runTime func(*Step) time.Duration) time.Duration {
	finish := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for number := range s.Steps {
		step := &s.Steps[number]
		for _, before := range step.After {
			finish[number] = max(finish[number], finish[before])
		}
		finish[number] += runTime(step)
		longest = max(longest, finish[number])
	}
	return longest
}

// Memory of a submission's parts beyond their texts, in bytes: of the job itself with an
// owner's data about it, of a step, and of a label.
const (
	jobBytes   = 2048
	stepBytes  = 320
	labelBytes = 16
)

// Size returns the approximate memory of the submission in bytes, without its tasks.
func (s *Submission) Size() int64 {
	size := jobBytes + len(s.ID) + len(s.Queue) + len(s.Route) + len(s.Pool) + len(s.Team) + len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += stepBytes + 8*len(step.After) + len(step.Rack) + len(step.Image)
		for _, label := range step.Labels {
			size += labelBytes + len(label)
		}
	}
	return int64(size)
}

// taskBytes is the memory of a task.
const taskBytes = 128

// SizeWithTasks returns the approximate memory of a job that an owner keeps, in bytes.
func (s *Submission) SizeWithTasks() int64 {
	return s.Size() + int64(s.tasks())*taskBytes
}

// Validate returns an error that names the first invalid field, or nil.
func (s *Submission) Validate() error {
	if !validID(s.ID) {
		return errors.Errorf("id: want %d hexadecimal digits", idLength)
	}
	if len(s.Payload) > maxPayload {
		return errors.Errorf("spec: %d bytes, at most %d", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Errorf("steps: %d, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.IntervalMS < 0 {
		return errors.New("occurrences: negative count or interval")
	}
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
	}
	if s.tasks() > maxTasks {
		return errors.Errorf("steps: %d tasks, at most %d", s.tasks(), maxTasks)
	}
	return nil
}

func (s Step) validate(number int) error {
	if s.Count < 1 || s.Count > maxStepTasks {
		return errors.Errorf("count: %d, want 1 to %d", s.Count, maxStepTasks)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.PerInstance < 0 || s.MayMiss < 0 {
		return errors.New("negative amount")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return errors.Errorf("after: step %d isn't an earlier step", before)
		}
	}
	return nil
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
