package owner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/quota"
)

// grantLoop divides the test team's limit as the leader does, among the pools of the owners
// and others, to four in all, in which the team has no work.
type grantLoop struct {
	owners map[string]*daemon
	pools  []string
	ledger *quota.Ledger
	number int64
	limits map[string]job.Resources
}

func newGrantLoop(c *cluster, limit int, owners map[string]*daemon) *grantLoop {
	c.catalog.AddTeam(&catalog.Team{Name: testTeam, Limit: job.Resources{CPU: limit}}, nil)
	pools := slices.Sorted(maps.Keys(owners))
	for len(pools) < 4 {
		pools = append(pools, fmt.Sprint("other-", len(pools)))
	}
	return &grantLoop{owners: owners, pools: pools, ledger: quota.NewLedger(), limits: map[string]job.Resources{testTeam: {CPU: limit}}}
}

func (l *grantLoop) pass() error {
	l.number++
	for _, pool := range l.pools {
		grants := l.ledger.Grants(pool, l.limits, l.pools)
		if l.owners[pool] == nil {
			l.ledger.Confirm(pool, 1, map[string]quota.Use{testTeam: {Held: grants[testTeam]}})
			continue
		}
		uses, epoch, err := l.owners[pool].unit.Grant(context.Background(), GrantOrder{Pool: pool, Lead: 1, Number: l.number, Grants: grants})
		if err != nil {
			return err
		}
		l.ledger.Confirm(pool, epoch, uses)
	}
	return nil
}

// submitForTeam stores a job of the test team that was accepted some time ago.
func (c *cluster) submitForTeam(pool, id string, ago time.Duration, steps ...job.Step) {
	data, err := job.EncodeSubmission(&job.Submission{ID: id, Queue: testQueue, Pool: pool, Team: testTeam, Steps: steps, AcceptedAt: time.Now().Add(-ago).UnixMilli()})
	if err != nil {
		c.t.Fatal(err)
	}
	c.appendTo(unitOf(pool), SubmissionPrefix+id, data)
}

// Guards against an accepted job that never starts beside free capacity and an unused limit:
// after an outage it had no value left, so the leader didn't count it as waiting and left the
// pool with less of the limit than its task or gang needs. Where no instance could run it
// either, no machine came for it; nor did one for a job in time, whose limit depended on
// the instance and whose instance on the limit.
func TestEveryWaitingTaskHasAClaimToWhatItNeeds(t *testing.T) {
	task := job.Step{Count: 1, Need: job.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second}
	gang := job.Step{Count: 2, Need: job.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
	for _, c := range []struct {
		name      string
		ago       time.Duration
		step      job.Step
		instances int
		// held is the number of long-running tasks that hold the instances, four each.
		held int
	}{
		{"a task without value", time.Minute, task, 2, 0},
		{"a gang without value", time.Minute, gang, 2, 0},
		{"a task without value or instance", time.Minute, task, 0, 0},
		{"a gang without value or instance", time.Minute, gang, 0, 0},
		{"a gang without value and half of the instances", time.Minute, gang, 1, 0},
		{"a task without value beside long-running ones", time.Minute, task, 2, 8},
		{"a task in time", 0, task, 2, 0},
		{"a task in time without instance", 0, task, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, c.instances, func(cl *cluster, is *is.I) {
				d := cl.startOwner(64)
				grants, machines := newGrantLoop(cl, 8000, map[string]*daemon{testPool: d}), &leaderLoop{c: cl, d: d, spare: 2}
				if c.held > 0 {
					for _, i := range cl.instances {
						i.duration = time.Hour
					}
					service := longStep(c.held)
					service.Lasting = true
					cl.submit("00000000000000cc", service)
				}
				time.Sleep(2 * time.Second)
				cl.submitForTeam(testPool, jobA, c.ago, c.step)
				for range 30 {
					time.Sleep(150 * time.Millisecond)
					is.NoErr(grants.pass())
					_, err := machines.pass()
					is.NoErr(err)
				}
				is.Equal(len(cl.startsOf(jobA)), c.step.Count)
			})
		})
	}
}

// Guards against work without value left that takes its team's limit from work in time, in
// the same pool or in another one.
func TestLimitGoesToWorkInTimeFirst(t *testing.T) {
	for _, pool := range []string{testPool, otherPool} {
		t.Run(pool, func(t *testing.T) {
			inVirtualTime(t, 6, func(c *cluster, is *is.I) {
				for n, i := range []string{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"} {
					c.instances[i].duration = time.Hour
					c.instances[i].pool = []string{testPool, otherPool}[n%2]
				}
				grants := newGrantLoop(c, 8000, map[string]*daemon{testPool: c.startOwner(64), otherPool: c.startOwnerOf(otherUnit, 64)})
				for n := range 4 {
					c.submitForTeam(testPool, fmt.Sprintf("%016x", n+1), time.Minute, smallStep(2))
				}
				c.submitForTeam(pool, jobA, 0, smallStep(6))
				time.Sleep(200 * time.Millisecond)
				for range 20 {
					is.NoErr(grants.pass())
					time.Sleep(150 * time.Millisecond)
				}
				is.Equal(len(c.startsOf(jobA)), 6)
			})
		})
	}
}

// Guards against work without value left that waits for room and takes the spare part of its
// team's limit meanwhile: work in time that arrives in another pool couldn't begin at once.
func TestWorkWithoutRoomTakesNoLimit(t *testing.T) {
	inVirtualTime(t, 4, func(c *cluster, is *is.I) {
		for n, i := range []string{"i-0", "i-1", "i-2", "i-3"} {
			c.instances[i].duration = time.Hour
			c.instances[i].pool = []string{testPool, otherPool}[n%2]
		}
		grants := newGrantLoop(c, 8000, map[string]*daemon{testPool: c.startOwner(64), otherPool: c.startOwnerOf(otherUnit, 64)})
		c.submitTo(otherPool, "00000000000000cc", smallStep(8)) // takes all of it, without a team
		time.Sleep(time.Second)
		gang := job.Step{Count: 2, Need: job.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
		c.submitForTeam(otherPool, "00000000000000dd", time.Minute, gang)
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			is.NoErr(grants.pass())
		}
		c.submitForTeam(testPool, jobA, 0, smallStep(2))
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}
