// Command benchpath measures the latency that a daemon adds to a request: in one
// run, the same load goes alternately to the backend servers of a simulated platform
// directly and through one daemon.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/directory"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

const (
	secret           = "bench-path-secret"
	queue            = "bench"
	bodyBytes        = 1024
	maxLatencyMicros = 10_000_000
	taskLease        = 5 * time.Second
	startBefore      = 5 * time.Second
	setUpTimeout     = 30 * time.Second
)

func main() {
	rate := flag.Int("rate", 1000, "requests a second")
	rounds := flag.Int("rounds", 5, "rounds of each path")
	length := flag.Duration("length", 2*time.Second, "length of a round")
	bin := flag.String("bin", "bin", "directory of the built programs")
	flag.Parse()
	if err := run(*bin, *rate, *rounds, *length); err != nil {
		fmt.Fprintln(os.Stderr, "benchpath:", err)
		os.Exit(1)
	}
}

func run(bin string, rate, rounds int, length time.Duration) error {
	l, err := lab.New(bin)
	if err != nil {
		return err
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout+2*time.Duration(rounds)*length)
	defer cancel()
	addr, _, err := l.StartStandin("-instances", "12", "-run-time", "2ms")
	if err != nil {
		return err
	}
	if _, err := lab.Configure(ctx, addr, 0, &configuration.Document{}, document()); err != nil {
		return err
	}
	d, err := l.StartDaemon("entry-1", "trd1", addr, nil)
	if err != nil {
		return err
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	workers, err := directory.New("http://"+addr, http.DefaultTransport).List(ctx)
	if err != nil {
		return err
	}
	if err := waitPoolFull(ctx, d); err != nil {
		return err
	}
	return measure(rate, rounds, length, directPath(workers), daemonPath(d.CallersAddr))
}

// waitPoolFull waits until the daemon lists all 12 instances.
func waitPoolFull(ctx context.Context, d *lab.Daemon) error {
	return lab.Until(ctx, "the daemon lists all instances", func() bool {
		s, err := d.Status()
		return err == nil && len(s.Instances) == 12
	})
}

// measure warms up all paths, then sends the rounds of each path alternately and
// prints a line per path and one for the difference. The direct path comes first.
func measure(rate, rounds int, length time.Duration, paths ...path) error {
	warmUp := newResult()
	for _, p := range paths {
		p.sendAtRate(rate, length, warmUp)
	}
	results := make([]*result, len(paths))
	for i := range paths {
		results[i] = newResult()
	}
	for range rounds {
		for i, p := range paths {
			p.sendAtRate(rate, length, results[i])
		}
	}
	for i, p := range paths {
		fmt.Println(results[i].summary(p.name, rate))
	}
	fmt.Printf("path=added rate=%d p50_ms=%.3f p99_ms=%.3f\n", rate,
		results[1].quantile(50)-results[0].quantile(50),
		results[1].quantile(99)-results[0].quantile(99))
	return results[0].failure(results[1])
}

// path is one way of sending requests to a backend server.
type path struct {
	name    string
	request func(n int) (*http.Request, error)
	client  *http.Client
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
}

// directPath sends to the backend servers themselves, round-robin.
func directPath(workers []platform.Listing) path {
	return path{name: "direct", client: newClient(), request: func(n int) (*http.Request, error) {
		w := workers[n%len(workers)]
		req, err := http.NewRequest(http.MethodPost, "http://"+w.Addr+"/v1/tasks", body())
		if err != nil {
			return nil, err
		}
		req.Header.Set("Task-Id", uuid.NewString())
		req.Header.Set("Task-Queue", queue)
		req.Header.Set("Task-Team", "bench")
		req.Header.Set("Task-Start-Before", strconv.FormatInt(time.Now().Add(startBefore).UnixMilli(), 10))
		req.Header.Set("Task-Lease", strconv.FormatInt(taskLease.Milliseconds(), 10))
		return req, nil
	}}
}

// daemonPath sends through a daemon.
func daemonPath(callersAddr string) path {
	return path{name: "daemon", client: newClient(), request: func(int) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+callersAddr+"/v1/queues/"+queue+"/tasks", body())
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		return req, nil
	}}
}

func body() io.Reader { return bytes.NewReader(bytes.Repeat([]byte("x"), bodyBytes)) }

// sendAtRate sends requests at a constant rate in requests a second (open loop): each
// starts on time, whether or not earlier ones have ended.
func (p path) sendAtRate(rate int, length time.Duration, r *result) {
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	start := time.Now()
	for n := range int(length / interval) {
		due := start.Add(time.Duration(n) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			sent := time.Now()
			err := p.send(n)
			r.add(time.Since(sent), err)
		})
	}
	wg.Wait()
}

func (p path) send(n int) error {
	req, err := p.request(n)
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", resp.Status, answer)
	}
	return nil
}

// result holds the latencies and failures of one path's requests. It is safe for
// concurrent use by add.
type result struct {
	mu       sync.Mutex
	hist     *hdrhistogram.Histogram
	failed   int
	firstErr error
}

func newResult() *result {
	return &result{hist: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// add records the latency of a successful request, or a failure.
func (r *result) add(d time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed++
		if r.firstErr == nil {
			r.firstErr = err
		}
		return
	}
	// A latency beyond the histogram's range counts as an error of the run.
	if err := r.hist.RecordValue(max(1, d.Microseconds())); err != nil && r.firstErr == nil {
		r.firstErr = err
	}
}

// quantile returns a latency in milliseconds.
func (r *result) quantile(q float64) float64 {
	return float64(r.hist.ValueAtQuantile(q)) / 1000
}

func (r *result) summary(name string, rate int) string {
	return fmt.Sprintf("path=%s rate=%d requests=%d failed=%d p50_ms=%.3f p99_ms=%.3f max_ms=%.3f",
		name, rate, r.hist.TotalCount(), r.failed, r.quantile(50), r.quantile(99), float64(r.hist.Max())/1000)
}

// failure returns an error if one of the results has one.
func (r *result) failure(others ...*result) error {
	for _, x := range append(others, r) {
		if x.firstErr != nil {
			return errors.Wrapf(x.firstErr, "%d requests failed, the first with", x.failed)
		}
	}
	return nil
}

func document() *configuration.Document {
	centre := configuration.DataCentre{Region: "bench", InService: true}
	return &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"trd1": centre, "trd2": centre, "trd3": centre},
		Services: map[string]configuration.Service{"bench": {
			AvailabilityObjective: 0.999,
			LatencyObjective:      configuration.Duration(time.Second),
			DailyBudget:           1,
		}},
		Pools: map[string]configuration.Pool{
			"bench": {Service: "bench", Size: 11, MinSize: 1, MaxSize: 12},
			"spare": {Size: 1, MaxSize: 12, Spare: true},
		},
		Queues: map[string]configuration.Queue{queue: {
			Service: "bench",
			Pool:    "bench",
			RunTime: configuration.Duration(taskLease),
			MaxBody: 1 << 20,
			Depth:   1000,
		}},
		Teams: map[string]configuration.Team{"bench": {Share: 1, Limit: 96}},
		Keys:  map[string]configuration.Key{"bench": {Team: "bench", Hash: configuration.HexKeyHash(secret)}},
	}
}
