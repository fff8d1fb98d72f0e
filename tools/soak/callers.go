package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/pause"
)

const (
	callTimeout = 3 * time.Second
	// submitAttempts is the number of attempts after which a caller gives a
	// submission up.
	submitAttempts = 8
	retryDelay     = 150 * time.Millisecond
)

// caller submits jobs, cancels some and queries their states, over persistent
// connections. It isn't safe for concurrent use.
type caller struct {
	harness *harness
	client  *http.Client
	random  *rand.Rand
	name    int
	// meanPause is the mean time between two jobs.
	meanPause time.Duration
	// jobs holds the accepted jobs.
	jobs []*jobPlan
	// repeats ends once all repeated submissions have been answered.
	repeats sync.WaitGroup
}

// newCaller returns a caller that submits its part of a load which keeps half of the
// team's limit busy.
func newCaller(h *harness, seed uint64, name int) *caller {
	const (
		meanTasks = 3.5
		tasksBusy = teamCPU / taskCPU / 2
	)
	return &caller{
		meanPause: time.Duration(callerCount * meanTasks / tasksBusy * float64(h.instances[0].runTime)),
		harness:   h, name: name, random: rand.New(rand.NewPCG(seed, uint64(name))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
	}
}

// call sends one request with a key to a daemon and returns the status code, 0 if there
// was no answer, and for a GET the job's state.
func (c *caller) call(p *process, key, method, path string, body []byte) (int, job.State) {
	req, err := http.NewRequest(method, "http://"+p.callersAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var reply struct{ State job.State }
	if resp.StatusCode == http.StatusOK && method == http.MethodGet && json.Unmarshal(data, &reply) != nil {
		return 0, ""
	}
	return resp.StatusCode, reply.State
}

// callAny calls a daemon drawn at random.
func (c *caller) callAny(method string, p *jobPlan, body []byte) (int, job.State) {
	d := c.harness.daemons[c.random.IntN(len(c.harness.daemons))]
	return c.call(d, keyInForce, method, p.queue.path+p.id, body)
}

// run submits jobs until the context ends, beginning with the given kinds, each until one
// is accepted.
func (c *caller) run(ctx context.Context, first []jobKind) {
	for n := 0; ctx.Err() == nil; n++ {
		kind := drawKind(c.random)
		if len(c.jobs) < len(first) {
			kind = first[len(c.jobs)]
		}
		if c.name == 0 && len(c.jobs) >= len(first) && n%4 == 3 && !c.harness.checker.seenEffect(cutKind) {
			kind = manyEnds
		}
		queues := c.harness.operator.queues
		c.submit(ctx, drawPlan(c.random, fmt.Sprintf("%08x%08x", c.name+1, n), kind, queues[c.random.IntN(len(queues))]))
		if len(c.jobs) > 0 && c.random.IntN(4) == 0 {
			c.queryState(c.jobs[c.random.IntN(len(c.jobs))])
		}
		if last := len(c.jobs) - 1; last >= len(first) && c.random.IntN(15) == 0 {
			c.cancel(c.jobs[last])
		}
		pause.For(ctx, time.Duration(c.random.Float64()*2*float64(c.meanPause)))
	}
	c.repeats.Wait()
}

// submit submits one job and repeats it until it is accepted, at most submitAttempts
// times; some callers give up after one or two, so that refusals stand.
func (c *caller) submit(ctx context.Context, p *jobPlan) {
	body := p.body()
	c.harness.checker.submitted(p)
	refused, attempts := true, submitAttempts
	if c.random.IntN(4) == 0 {
		attempts = 1 + c.random.IntN(2)
	}
	for attempt := range attempts {
		if attempt > 0 && ctx.Err() != nil {
			break
		}
		status, _ := c.callAny(http.MethodPost, p, body)
		if status == http.StatusOK {
			c.harness.checker.answered(p.id, true, false)
			c.jobs = append(c.jobs, p)
			if c.random.IntN(6) == 0 || p.queue.name == movingQueue {
				c.repeat(ctx, p, body)
			}
			return
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusNotFound)
		time.Sleep(retryDelay)
	}
	c.harness.checker.answered(p.id, false, refused)
}

// repeat sends a submission again seconds after it was accepted.
func (c *caller) repeat(ctx context.Context, p *jobPlan, body []byte) {
	d := c.harness.daemons[c.random.IntN(len(c.harness.daemons))]
	after := time.Duration(500+c.random.IntN(3000)) * time.Millisecond
	c.repeats.Go(func() {
		pause.For(ctx, after)
		if status, _ := c.call(d, keyInForce, http.MethodPost, p.queue.path+p.id, body); status == http.StatusOK {
			c.harness.checker.exercise(judgeRepeated)
		}
	})
}

// queryState queries a job's state; no answer is not recorded.
func (c *caller) queryState(p *jobPlan) {
	switch status, state := c.callAny(http.MethodGet, p, nil); status {
	case http.StatusOK:
		c.harness.checker.stateReturned(p.id, state)
	case http.StatusGone:
		c.harness.checker.stateReturned(p.id, "")
	}
}

// queryAll queries the states of those unfinished jobs that this caller
// submitted.
func (c *caller) queryAll(unfinished map[string]bool) {
	for _, p := range c.jobs {
		if unfinished[p.id] {
			c.queryState(p)
		}
	}
}

func (c *caller) cancel(p *jobPlan) {
	if status, _ := c.callAny(http.MethodDelete, p, nil); status == http.StatusOK {
		c.harness.checker.cancelAcked(p.id)
	}
}

// checkWithdrawnKey calls each daemon with the key that was withdrawn.
func (c *caller) checkWithdrawnKey() {
	withdrawnAt := c.harness.operator.withdrawnAt
	if withdrawnAt.IsZero() || time.Since(withdrawnAt) < keyTimeout {
		return
	}
	for _, d := range c.harness.daemons {
		status, _ := c.call(d, keyWithdrawn, http.MethodGet, c.harness.operator.queues[0].path+"00000000000000ff", nil)
		if status == 0 {
			continue
		}
		c.harness.checker.exercise(judgeKey)
		if status != http.StatusUnauthorized {
			c.harness.checker.report("%s answers a key withdrawn %s earlier with %d", d.name, time.Since(withdrawnAt), status)
		}
	}
}
