package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// Guards against tasks for the former capacity and labels of an instance that came back
// under its ID as another kind, before its new entry was read.
func TestRestartedInstanceIsUsedOnceItsEntryIsRead(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		c.submit(jobA, smallStep(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Completed)
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation += 1000
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.mu.Unlock()
		time.Sleep(2 * time.Second)
		c.submit("00000000000000bb", smallStep(1))
		time.Sleep(2 * time.Second)
		is.Equal(len(c.startsOf("00000000000000bb")), 0)
		d.view.ResetRegistry(c.registrations())
		time.Sleep(2 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.Completed)
	})
}

// Guards against attempts that change with the configuration: a job keeps the number
// that its queue had when it was accepted, also once the queue is removed.
func TestJobKeepsItsMaxFailures(t *testing.T) {
	for _, c := range []struct {
		name           string
		stored, starts int
	}{{"as accepted", 2, 2}, {"stored by an earlier version", 0, defaultMaxFailures}} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, 1, func(cluster *cluster, is *is.I) {
				cluster.instances["i-0"].outcome = job.EndFailed
				cluster.catalog = catalog.New(2)
				cluster.catalog.Pools[testPool] = &catalog.Pool{Name: testPool}
				d := cluster.startOwner(64)
				s := &job.Submission{ID: jobA, Queue: "removed", Pool: testPool, Steps: []job.Step{smallStep(1)}, MaxFailures: c.stored, AcceptedAt: time.Now().UnixMilli()}
				data, err := job.EncodeSubmission(s)
				is.NoErr(err)
				cluster.append(SubmissionPrefix+jobA, data)
				time.Sleep(10 * time.Second)
				status, err := d.unit.State(cluster.ctx, jobA, "removed")
				is.NoErr(err)
				is.Equal(status.State, job.Failed)
				is.Equal(len(cluster.startsOf(jobA)), c.starts)
			})
		})
	}
	is := is.New(t)
	u := &Unit{}
	is.Equal(u.maxFailures(&job.Submission{MaxFailures: job.NoMaxFailures}), 0)
	is.True((&session{reg: instance.Registration{Incarnation: 1}}).entryCurrent()) // not polled yet
}
