package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// limitActivationBound is how long a changed limit may take to become active
// everywhere.
const limitActivationBound = 5 * time.Second

// limitsBackends is a fake of the backend servers. It counts the tasks that are
// actually running and checks each start against the limit.
type limitsBackends struct {
	mu             sync.Mutex
	rng            *rand.Rand
	slots          int
	busySlots      map[string]int
	tasks          map[string]*runningTask
	running        int
	limit          int
	limitSetAt     time.Time
	previousLimit  int
	peak           int
	violations     []string
	taskTime       time.Duration
	accountedUntil time.Time
	runTime        time.Duration
	loseEvery      int
	starts         int
}

type runningTask struct {
	addr  string
	timer *time.Timer
	done  chan struct{}
}

func newLimitsBackends(slots, limit int, runTime time.Duration) *limitsBackends {
	return &limitsBackends{
		rng:            rand.New(rand.NewPCG(1, 2)),
		slots:          slots,
		busySlots:      map[string]int{},
		tasks:          map[string]*runningTask{},
		limit:          limit,
		runTime:        runTime,
		accountedUntil: time.Now(),
	}
}

// setLimit changes the limit that starts are checked against; a lower one
// counts after limitActivationBound.
func (b *limitsBackends) setLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.previousLimit, b.limit, b.limitSetAt = b.limit, limit, time.Now()
}

// loseAnswers makes every nth answer get lost while its task keeps running.
// Zero loses none.
func (b *limitsBackends) loseAnswers(every int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loseEvery = every
}

// allowedNow returns how many tasks may run if one starts now.
func (b *limitsBackends) allowedNow() int {
	if time.Since(b.limitSetAt) < limitActivationBound {
		return max(b.previousLimit, b.limit)
	}
	return b.limit
}

// Run implements platform.Backends.
func (b *limitsBackends) Run(ctx context.Context, addr string, t platform.Task) (platform.Answer, error) {
	task, lose, err := b.startTask(addr, t)
	if err != nil {
		return platform.Answer{}, err
	}
	if lose {
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, "answer was lost")
	}
	select {
	case <-task.done:
		return platform.Answer{Status: 200, Body: t.Body, Instance: addr}, nil
	case <-ctx.Done():
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, "connection was closed")
	}
}

func (b *limitsBackends) startTask(addr string, t platform.Task) (*runningTask, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(t.StartBefore) {
		return nil, false, verdict.New(verdict.NotRun, verdict.CodeBackendRefused, "start deadline passed")
	}
	if b.busySlots[addr] >= b.slots {
		return nil, false, verdict.New(verdict.NotRun, verdict.CodeBackendRefused, "full")
	}
	b.adjustRunning(1)
	b.busySlots[addr]++
	b.starts++
	if b.running > b.allowedNow() {
		b.violations = append(b.violations, fmt.Sprintf("%d tasks running at %v, %d allowed", b.running, time.Now().Format("04:05.000"), b.allowedNow()))
	}
	runTime := min(t.Lease, b.runTime/2+time.Duration(b.rng.Int64N(int64(b.runTime))))
	task := &runningTask{addr: addr, done: make(chan struct{})}
	task.timer = time.AfterFunc(runTime, func() { b.endTask(t.ID) })
	b.tasks[t.ID] = task
	return task, b.loseEvery > 0 && b.starts%b.loseEvery == 0, nil
}

// adjustRunning brings taskTime up to date, and then adds n to the number of
// running tasks. The caller holds mu.
func (b *limitsBackends) adjustRunning(n int) {
	now := time.Now()
	b.taskTime += time.Duration(b.running) * now.Sub(b.accountedUntil)
	b.accountedUntil = now
	b.running += n
	b.peak = max(b.peak, b.running)
}

func (b *limitsBackends) endTask(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	task, ok := b.tasks[id]
	if !ok {
		return
	}
	delete(b.tasks, id)
	b.adjustRunning(-1)
	b.busySlots[task.addr]--
	close(task.done)
}

// Stop implements platform.Backends. These servers can't stop a task.
func (b *limitsBackends) Stop(_ context.Context, _, id string) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, isRunning := b.tasks[id]
	return !isRunning, nil
}

// Usage implements platform.Backends.
func (b *limitsBackends) Usage(context.Context, string) (platform.Usage, error) {
	return platform.Usage{}, errFault
}

// meanRunning returns the mean number of running tasks over the next d.
func (b *limitsBackends) meanRunning(d time.Duration) float64 {
	b.mu.Lock()
	b.adjustRunning(0)
	before := b.taskTime
	b.mu.Unlock()
	time.Sleep(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.adjustRunning(0)
	return float64(b.taskTime-before) / float64(d)
}
