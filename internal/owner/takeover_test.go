package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
)

// submitWithPayload stores a job with a payload, and returns its record.
func (c *cluster) submitWithPayload(id, payload string, steps ...job.Step) []byte {
	s := &job.Submission{ID: id, Queue: testQueue, Pool: testPool, Payload: payload, Steps: steps, AcceptedAt: time.Now().UnixMilli()}
	data, err := job.EncodeSubmission(s)
	if err != nil {
		c.t.Fatal(err)
	}
	c.append(SubmissionPrefix+id, data)
	return data
}

// A successor reads all jobs whose state is still shown. On a rolling restart at a
// demand peak the payloads of finished jobs, 4 KB each, were most of what it read:
// a pool had no owner for 0.9 s.
func TestFinishedJobsAreCompactedInTheStore(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		second := smallStep(2)
		second.After = []int{0}
		submitted := c.submitWithPayload(jobA, strings.Repeat("x", 3000), smallStep(3), second)
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		page, err := c.store.Client().Newest(c.ctx, ownership.Topic, testUnit, "")
		is.NoErr(err)
		size := 0
		for _, r := range page.Records {
			size += len(r.Value)
		}
		is.True(size > 0 && size < 300)

		d.setHeld(false)
		d.unit.Stop()
		next := c.startOwner(128)
		time.Sleep(2 * time.Second)
		is.Equal(next.state(jobA), job.Completed)
		// A caller's repeat stores the whole submission again.
		c.append(SubmissionPrefix+jobA, submitted)
		time.Sleep(2 * time.Second)
		last := c.startOwner(192)
		time.Sleep(2 * time.Second)
		is.Equal(last.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 5)
	})
}

// An accepted job of which a record can't be read must never run from its start:
// when its submission was read again, after a repeat of a caller or a gap in the
// store's history, it was taken for a new one.
func TestUnreadableJobNeverRunsAgain(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		submitted := c.submitWithPayload(jobA, "x", smallStep(1))
		c.append(progressPrefix+jobA, []byte{0xc1})
		d := c.startOwner(64)
		time.Sleep(time.Second)
		c.append(SubmissionPrefix+jobA, submitted)
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.State(ErrNotReady.Error()))
		is.Equal(len(c.startsOf(jobA)), 0)
	})
}

// Guards against a task that is started more often than its job allows: its owner ended
// between two appends, which stored the task's last failure without the end of the job.
func TestJobWithoutAttemptsLeftEndsAtATakeover(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		s := &job.Submission{ID: jobA, Queue: testQueue, Pool: testPool, Steps: []job.Step{smallStep(300)}, MaxFailures: 2, AcceptedAt: time.Now().UnixMilli()}
		data, err := job.EncodeSubmission(s)
		is.NoErr(err)
		c.append(SubmissionPrefix+jobA, data)
		j := job.New(s)
		j.Advance(time.Now())
		id := job.TaskID{Job: jobA}
		j.Place(job.TaskID{Job: jobA, Index: 299}, 1, job.Placement{Instance: "i-0", Incarnation: 1, Bound: true})
		for run := range s.MaxFailures {
			j.Place(id, run+1, job.Placement{Instance: "i-0", Incarnation: 1, Bound: true})
			c.storeProgress(j.Records(1 << 16))
			j.Ended(id, run+1, job.EndFailed, "", s.MaxFailures, time.Now())
		}
		is.Equal(j.State(), job.Failed)
		c.storeProgress(j.Records(1 << 16)[:1]) // the head isn't stored
		d := c.startOwner(64)
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Failed)
		is.Equal(len(c.startsOf(jobA)), 0)
		d.unit.Stop()
		is.Equal(c.startOwner(128).stateAfter(time.Second, jobA), job.Failed) // it is stored
	})
}

// storeProgress stores records of jobA's progress.
func (c *cluster) storeProgress(records []job.Record) {
	for _, r := range records {
		key := progressPrefix + jobA
		if r.Part != "" {
			key += partSeparator + r.Part
		}
		c.append(key, r.Value)
	}
}

// stateAfter returns the state of a job after a time.
func (d *daemon) stateAfter(wait time.Duration, id string) job.State {
	time.Sleep(wait)
	return d.state(id)
}
