package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/beryltide/beryltide/internal/job"
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
	// ids holds the accepted jobs.
	ids []string
}

func newCaller(h *harness, seed uint64, name int) *caller {
	return &caller{
		harness: h, name: name, random: rand.New(rand.NewPCG(seed, uint64(name))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
	}
}

// call sends one request to a daemon drawn at random and returns the status code,
// 0 if there was no answer, and for a GET the job's state.
func (c *caller) call(method, id string, body []byte) (int, job.State) {
	p := c.harness.daemons[c.random.IntN(len(c.harness.daemons))]
	req, err := http.NewRequest(method, "http://"+p.callersAddress+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
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

// run submits jobs until the context ends.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.submit(fmt.Sprintf("%08x%08x", c.name+1, n))
		if len(c.ids) > 0 && c.random.IntN(4) == 0 {
			c.queryState(c.ids[c.random.IntN(len(c.ids))])
		}
		if len(c.ids) > 0 && c.random.IntN(15) == 0 {
			c.cancel(c.ids[len(c.ids)-1])
		}
		time.Sleep(time.Duration(c.random.IntN(120)) * time.Millisecond)
	}
}

// submit submits one job and repeats it until it is accepted, at most
// submitAttempts times.
func (c *caller) submit(id string) {
	counts := []int{1 + c.random.IntN(5)}
	steps := []map[string]any{{"count": counts[0], "cpu": taskCPU, "mem_mb": 10, "est_runtime_ms": 300}}
	if c.random.IntN(3) == 0 {
		counts = append(counts, 1+c.random.IntN(3))
		steps = append(steps, map[string]any{"count": counts[1], "cpu": taskCPU, "mem_mb": 10, "est_runtime_ms": 300, "after": []int{0}})
	}
	payload := fmt.Sprint("payload of ", id)
	body, err := json.Marshal(map[string]any{"spec": payload, "steps": steps})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	c.harness.checker.submitted(id, payload, counts)
	refused := true
	for range submitAttempts {
		status, _ := c.call(http.MethodPost, id, body)
		if status == http.StatusOK {
			c.harness.checker.answered(id, true, false)
			c.ids = append(c.ids, id)
			return
		}
		refused = refused && status == http.StatusServiceUnavailable
		time.Sleep(retryDelay)
	}
	c.harness.checker.answered(id, false, refused)
}

// queryState queries a job's state; no answer is not recorded.
func (c *caller) queryState(id string) {
	switch status, state := c.call(http.MethodGet, id, nil); status {
	case http.StatusOK:
		c.harness.checker.stateReturned(id, state)
	case http.StatusGone:
		c.harness.checker.stateReturned(id, "")
	}
}

// queryAll queries the states of those unfinished jobs that this caller
// submitted.
func (c *caller) queryAll(unfinished map[string]bool) {
	for _, id := range c.ids {
		if unfinished[id] {
			c.queryState(id)
		}
	}
}

func (c *caller) cancel(id string) {
	if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK {
		c.harness.checker.cancelAcked(id)
	}
}
