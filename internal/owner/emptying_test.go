package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// mostTimeAway is how long a long-running task may have no run while there is room for it:
// 3 s, from 6 s after its last run.
const mostTimeAway = 9 * time.Second

// leaderLoop moves machines between the spare pool and a cluster, as the leader does.
type leaderLoop struct {
	c     *cluster
	d     *daemon
	spare int
	// arrivals holds when the machines that are on their way arrive.
	arrivals []time.Time
	moved    int
}

// pass is one pass of the leader's loop. It returns the instances that are empty.
func (l *leaderLoop) pass(release ...string) ([]string, error) {
	empty, err := l.d.unit.Release(context.Background(), release)
	if err != nil {
		return nil, err
	}
	demand, err := l.d.unit.Demand(context.Background(), testPool)
	if err != nil {
		return nil, err
	}
	capacity := job.Resources{CPU: 4000, Memory: 8000}
	s := rebalance.Snapshot{
		Machines: map[string]machine.Machine{}, Busy: map[string]bool{}, Demand: map[string]rebalance.Demand{testPool: demand}, SparePool: sparePool,
		BaseSizes: map[string]int{testPool: 3}, Arriving: map[string]int{testPool: len(l.arrivals)},
	}
	for id := range l.c.instances {
		s.Machines[id] = machine.Machine{Name: id, Pool: testPool, State: machine.Up, Instance: id, Capacity: capacity}
		s.Busy[id] = slices.Contains(release, id)
	}
	for n := range l.spare {
		name := fmt.Sprint("spare-", n)
		s.Machines[name] = machine.Machine{Name: name, Pool: sparePool, State: machine.Up, Capacity: capacity}
	}
	for _, m := range rebalance.Plan(s) {
		if m.To != testPool {
			l.c.remove(m.Machine)
			l.spare++
			continue
		}
		l.spare--
		l.arrivals = append(l.arrivals, time.Now().Add(1500*time.Millisecond))
	}
	for len(l.arrivals) > 0 && !time.Now().Before(l.arrivals[0]) {
		l.arrivals = l.arrivals[1:]
		l.moved++
		id := fmt.Sprint("i-moved-", l.moved)
		i := newFakeInstance(id, l.c.startedAt)
		i.duration, i.startup = time.Hour, 500*time.Millisecond
		l.c.mu.Lock()
		l.c.instances[id] = i
		l.c.mu.Unlock()
		l.d.view.ResetRegistry(l.c.registrations())
	}
	return empty, nil
}

// Maintenance had stopped one of an instance's two tasks of a step, the limit on one instance
// left it no other place, and the disruption budget kept the second one: the instance was never
// empty, and the first task had no run.
func TestMaintenanceEmptiesAnInstanceBesideLimitsAndBudgets(t *testing.T) {
	for _, spare := range []int{4, 0} {
		t.Run(fmt.Sprint(spare, " machines to spare"), func(t *testing.T) {
			inVirtualTime(t, 3, func(c *cluster, is *is.I) {
				for _, i := range c.instances {
					i.duration, i.startup = time.Hour, 500*time.Millisecond
				}
				step := longStep(6)
				step.Lasting, step.PerInstance, step.MayMiss = true, 2, 1
				d := c.startOwner(64)
				c.submit(jobA, step)
				time.Sleep(4 * time.Second)
				is.Equal(len(c.startsOf(jobA)), step.Count)
				l := &leaderLoop{c: c, d: d, spare: spare}
				lastSeen := map[job.TaskID]time.Time{}
				isEmpty := false
				for begin := time.Now(); !isEmpty && time.Since(begin) < 2*mostTimeAway; time.Sleep(150 * time.Millisecond) {
					empty, err := l.pass("i-0")
					is.NoErr(err)
					isEmpty = len(empty) > 0
					for _, i := range c.instances {
						i.mu.Lock()
						for id := range i.runs {
							lastSeen[id] = time.Now()
						}
						i.mu.Unlock()
					}
					is.Equal(len(lastSeen), step.Count)
					for _, at := range lastSeen {
						is.True(time.Since(at) < mostTimeAway) // a task has no run
					}
				}
				is.Equal(isEmpty, spare > 0)
			})
		})
	}
}
