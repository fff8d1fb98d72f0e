package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/pause"
)

const (
	// failingGang jobs have a gang of which some runs fail, and attempts left.
	failingGang jobKind = "gang that fails"
	// gangsFailKind is the kind of the fault of gangsFailInSeries; ownerAmidGangKind is that
	// of a round in which the owner was killed between the ends of two members.
	gangsFailKind     = "members of a gang fail together"
	ownerAmidGangKind = "owner killed between the ends of a gang"
	// failingGangCaller is the name of the first round's caller, beyond those of others.
	failingGangCaller = 4000
	// gangRounds is how many rounds a seed plays at least: one of each kind.
	gangRounds = 4
	// wideGangMembers is over the 256 tasks of one stored part.
	wideGangMembers = 300
	// gangEndsApart is how long a gang takes from its first end to its last, if not at once.
	gangEndsApart = 700 * time.Millisecond
	// killAmidGang is when in that time the owner is killed.
	killAmidGang = 250 * time.Millisecond
	// gangRoundTimeout is how long a round waits for its job to end.
	gangRoundTimeout = 15 * time.Second
)

// failingPlan is how the members of a gang end in the runs that fail.
type failingPlan struct {
	// apart is the time from the first end to the last.
	apart time.Duration
	// failEach is 1 if all members fail, n if each nth does and the others end broken.
	failEach int
	// ownerKilled kills the owner of the gang's unit between the ends of its first failed run.
	ownerKilled bool
	// killed lets that be done once a job.
	killed *sync.Once
}

func (f *failingPlan) String() string {
	return fmt.Sprintf("each %d. member, ends apart by %s, owner killed: %t", f.failEach, f.apart, f.ownerKilled)
}

// drawFailingGang draws round n of a seed. Its gang fails one time less than it may. The order
// and number of the draws fix a seed's rounds.
func (h *harness) drawFailingGang(random *rand.Rand, n int) *jobPlan {
	pool := []string{firstPool, secondPool}[random.IntN(2)]
	q := h.operator.queueOf(pool)
	p := &jobPlan{
		id: fmt.Sprintf("%08x%08x", failingGangCaller+1, n), kind: failingGang, queue: q, failures: q.maxAttempts - 1,
		failing: &failingPlan{failEach: 1 + random.IntN(2), killed: &sync.Once{}},
	}
	p.payload = fmt.Sprint("payload of ", p.id)
	step := stepPlan{count: 2 + random.IntN(5), cpu: smallCPU, gang: true}
	switch n % 4 {
	case 0: // on one instance, at once
		step.affinity = h.instances[drainingInstance+1+random.IntN(len(h.instances)-1)].rack()
	case 1: // on several, apart
		step.count, step.perInstance = 3, 1
		p.failing.apart, p.failing.ownerKilled = gangEndsApart, true
	case 2: // in several parts of the stored progress
		step.count = wideGangMembers
		p.failing.apart, p.failing.ownerKilled = gangEndsApart, true
	case 3: // on one instance or several, at once or apart
		p.failing.ownerKilled = true
		p.failing.apart = between(random, 2*killAmidGang, gangEndsApart)
	}
	p.steps = []stepPlan{step}
	return p
}

// gangsFailInSeries plays rounds, each with a gang that fails, which overlap. It goes on until
// each kind of round was played and both kinds of faults have taken effect, and returns their
// schedule.
func (h *harness) gangsFailInSeries(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(h.seed, 7))
	drawn, _ := ctx.Deadline()
	h.checker.drew(gangsFailKind)
	h.checker.drew(ownerAmidGangKind)
	pause.For(ctx, seriesAfter)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var schedule []string
	for n := 0; n < gangRounds || !h.gangsSeen() && time.Now().Before(drawn.Add(seriesTimeout)); n++ {
		p := h.drawFailingGang(random, n)
		wg.Go(func() {
			line := h.playFailingGang(p, failingGangCaller+n)
			mu.Lock()
			defer mu.Unlock()
			schedule = append(schedule, line)
		})
		pause.For(context.Background(), between(random, 2*time.Second, 4*time.Second))
	}
	wg.Wait()
	return schedule
}

// playFailingGang plays one round and describes it.
func (h *harness) playFailingGang(p *jobPlan, name int) string {
	c := newCaller(h, h.seed, name)
	begin := time.Now()
	for len(c.jobs) == 0 && time.Since(begin) < gangRoundTimeout {
		c.submit(context.Background(), p)
	}
	for !h.checker.ends(p.id) && time.Since(begin) < gangRoundTimeout {
		time.Sleep(settleInterval)
		c.queryAll(map[string]bool{p.id: true})
	}
	h.longCallersMu.Lock()
	h.longCallers = append(h.longCallers, c)
	h.longCallersMu.Unlock()
	return fmt.Sprintf("%6.2f s  gang %s of %d in %s: fails %d times; %s; %s", begin.Sub(h.checker.startedAt).Seconds(),
		p.id, p.steps[0].count, p.queue.pool, p.failures, p.failing, h.checker.countFailedGang(p))
}

func (h *harness) gangsSeen() bool {
	return h.checker.seenEffect(gangsFailKind) && h.checker.seenEffect(ownerAmidGangKind)
}

// ends reports whether a job has ended, or was never accepted.
func (c *checker) ends(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.jobs[id]
	return rec == nil || rec.acceptedAt.IsZero() || stateRank[rec.lastState] >= 3
}

// countFailedGang counts the effect of a round: runs of the gang of which several members have
// failed. It returns what was seen.
func (c *checker) countFailedGang(p *jobPlan) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed, several := len(c.failedRuns[job.TaskID{Job: p.id}]), 0
	for _, members := range c.failedMembers[p.id] {
		if members > 1 {
			several++
		}
	}
	rec := c.jobs[p.id]
	if several > 0 {
		c.counts.effective[gangsFailKind]++
		if stateRank[rec.lastState] >= 3 {
			c.counts.exercised[judgeGangs]++
		}
	}
	return fmt.Sprintf("%d runs failed, %d of them by several members, %s", failed, several, rec.lastState)
}

// onGangFailure kills the owner of a gang's unit, if that is planned, a little after the first
// member of a run has failed, and starts it again.
func (h *harness) onGangFailure(p *jobPlan) {
	if p.failing == nil || !p.failing.ownerKilled {
		return
	}
	go p.failing.killed.Do(func() {
		time.Sleep(killAmidGang)
		d := h.ownerOf(p.queue.pool)
		if d.signal(syscall.SIGKILL) {
			h.checker.tookEffect(ownerAmidGangKind)
		}
		time.Sleep(killAmidGang)
		h.restartDaemon(d)
	})
}
