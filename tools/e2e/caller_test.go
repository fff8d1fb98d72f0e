package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beryltide/beryltide/internal/standin"
	"github.com/beryltide/beryltide/internal/verdict"
)

// requestTimeout is sent to the daemon; callerTimeout is when the client gives
// up.
const (
	requestTimeout = 2 * time.Second
	callerTimeout  = 3 * time.Second
)

// outcome is the result of one request at its caller.
type outcome struct {
	body string
	// answered is set if an answer or a problem document was received.
	answered bool
	status   int
	answer   string
	verdict  verdict.Verdict
}

// callers send non-idempotent requests, each with a unique body, to the ready
// daemons in rotation.
type callers struct {
	addrs func() []string
	key   string
	queue string

	sent      atomic.Int64
	succeeded atomic.Int64
	mu        sync.Mutex
	results   []outcome
	stop      chan struct{}
	wg        sync.WaitGroup
}

func startCallers(n int, queue, key string, addrs func() []string) *callers {
	c := &callers{addrs: addrs, key: key, queue: queue, stop: make(chan struct{})}
	for range n {
		c.wg.Go(c.loop)
	}
	return c
}

func (c *callers) loop() {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		addrs := c.addrs()
		if len(addrs) == 0 {
			continue
		}
		n := c.sent.Add(1)
		o := c.send(client, addrs[int(n)%len(addrs)], fmt.Sprintf("tag-%06d.", n))
		c.mu.Lock()
		c.results = append(c.results, o)
		c.mu.Unlock()
		if o.status == http.StatusOK {
			c.succeeded.Add(1)
		}
	}
}

func (c *callers) send(client *http.Client, addr, body string) outcome {
	o := outcome{body: body, verdict: verdict.MayHaveRun}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/queues/"+c.queue+"/tasks", strings.NewReader(body))
	if err != nil {
		return o
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Request-Timeout", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return o
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return o
	}
	o.answered, o.status, o.answer = true, resp.StatusCode, string(data)
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Verdict verdict.Verdict }
		if json.Unmarshal(data, &p) == nil {
			o.verdict = p.Verdict
		}
	}
	return o
}

// finish stops the callers, waits for them and returns the outcome of each
// request.
func (c *callers) finish() []outcome {
	close(c.stop)
	c.wg.Wait()
	return c.results
}

// checkOutcomes compares the callers' outcomes with what the backend servers
// started.
func checkOutcomes(t *testing.T, platform string, results []outcome) {
	t.Helper()
	starts := map[string]int{}
	for _, s := range fetchReport(t, platform).Starts {
		starts[s.Body]++
	}
	counts := map[string]int{}
	for _, o := range results {
		n := starts[o.body]
		switch {
		case n > 1:
			t.Errorf("%s started %d times", o.body, n)
		case o.status == http.StatusOK && (n != 1 || o.answer != standin.AnswerPrefix+o.body):
			t.Errorf("%s: answer %q after %d starts", o.body, o.answer, n)
		case o.answered && o.status != http.StatusOK && o.verdict == verdict.NotRun && n != 0:
			t.Errorf("%s was refused as not run (%s) but was started", o.body, o.answer)
		}
		counts[outcomeClass(o)]++
	}
	t.Logf("requests: %v", counts)
}

func outcomeClass(o outcome) string {
	switch {
	case !o.answered:
		return "connection lost"
	case o.status == http.StatusOK:
		return "good"
	default:
		return o.verdict.String()
	}
}

func fetchReport(t *testing.T, platform string) standin.Report {
	t.Helper()
	resp, err := http.Get("http://" + platform + "/started")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var r standin.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	return r
}
