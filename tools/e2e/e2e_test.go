package e2e

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

const (
	// testTimeout bounds each test.
	testTimeout = 90 * time.Second
	// progressRequests is the number of further successful answers that show
	// recovery.
	progressRequests = 60
	callerCount      = 8
	secret           = "e2e-secret-of-vets"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "beryltide-e2e-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	programs = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a simulated platform with three daemons, which use TLS between one
// another.
type fleet struct {
	lab      *lab.Lab
	platform string
	daemons  []*lab.Daemon

	mu    sync.Mutex
	ready []string
}

func newFleet(t *testing.T, ctx context.Context) *fleet {
	t.Helper()
	is := is.New(t)
	l, err := lab.New(programs)
	is.NoErr(err)
	f := &fleet{lab: l}
	t.Cleanup(func() { is.NoErr(l.Close()) })
	f.platform, _, err = l.StartStandin("-instances", "12", "-run-time", "20ms", "-reboot-time", "1s")
	is.NoErr(err)
	_, err = lab.Configure(ctx, f.platform, 0, &configuration.Document{}, document())
	is.NoErr(err)
	certs := newCertificates(t)
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		d, err := l.StartDaemon(name, "trd1", f.platform, func(settings map[string]any) {
			peers := settings["peers"].(map[string]any)
			delete(peers, "plaintext")
			peers["certificate"], peers["key"], peers["authority"] = certs.certificate, certs.key, certs.authority
			settings["timeouts"] = map[string]any{"balancerDelay": "1s", "drain": "10s"}
		})
		is.NoErr(err)
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		is.NoErr(d.WaitReady(ctx))
	}
	is.NoErr(lab.Until(ctx, "all instances are listed", func() bool {
		st, err := f.daemons[0].Status()
		return err == nil && len(st.Instances) == 12
	}))
	go f.pollReadiness(ctx)
	return f
}

// pollReadiness keeps the list of ready daemons up to date, as the platform's
// balancer does.
func (f *fleet) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		var ready []string
		for _, d := range f.daemons {
			resp, err := client.Get("http://" + d.OperationsAddr + "/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, d.CallersAddr)
			}
		}
		f.mu.Lock()
		f.ready = ready
		f.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (f *fleet) readyAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// waitForProgress waits until progressRequests more requests have succeeded.
func (f *fleet) waitForProgress(t *testing.T, ctx context.Context, c *callers) {
	t.Helper()
	before := c.succeeded.Load()
	err := lab.Until(ctx, "requests succeed", func() bool { return c.succeeded.Load() >= before+progressRequests })
	if err != nil {
		t.Fatal(err)
	}
}

func TestKillsAndFreezes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := newFleet(t, ctx)
	c := startCallers(callerCount, "engraving", secret, f.readyAddrs)
	f.waitForProgress(t, ctx, c)
	for _, d := range f.daemons {
		d.Kill()
		f.waitForProgress(t, ctx, c)
		is.NoErr(f.lab.Restart(d))
		is.NoErr(d.WaitReady(ctx))
		f.waitForProgress(t, ctx, c)
	}
	for _, d := range f.daemons {
		is.NoErr(d.Signal(syscall.SIGSTOP))
		f.waitForProgress(t, ctx, c)
		is.NoErr(d.Signal(syscall.SIGCONT))
		is.NoErr(d.WaitReady(ctx))
	}
	f.waitForProgress(t, ctx, c)
	checkOutcomes(t, f.platform, c.finish())
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := newFleet(t, ctx)
	c := startCallers(callerCount, "engraving", secret, f.readyAddrs)
	for _, d := range f.daemons {
		f.waitForProgress(t, ctx, c)
		is.NoErr(d.Stop())
		is.NoErr(f.lab.Restart(d))
		is.NoErr(d.WaitReady(ctx))
	}
	f.waitForProgress(t, ctx, c)
	results := c.finish()
	checkOutcomes(t, f.platform, results)
	for _, o := range results {
		if o.status != http.StatusOK {
			t.Errorf("%s: status %d, %s", o.body, o.status, strings.TrimSpace(o.answer))
		}
	}
}

func document() *configuration.Document {
	centre := configuration.DataCentre{Region: "trondheim", InService: true}
	return &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"trd1": centre, "trd2": centre, "trd3": centre},
		Services: map[string]configuration.Service{"engraving": {
			AvailabilityObjective: 0.999,
			LatencyObjective:      configuration.Duration(2 * time.Second),
			DailyBudget:           1,
		}},
		Pools: map[string]configuration.Pool{
			"engraving": {Service: "engraving", Size: 10, MinSize: 1, MaxSize: 12},
			"spare":     {Size: 2, MaxSize: 12, Spare: true},
		},
		Queues: map[string]configuration.Queue{"engraving": {
			Service: "engraving",
			Pool:    "engraving",
			RunTime: configuration.Duration(2 * time.Second),
			MaxBody: 1 << 16,
			Depth:   200,
		}},
		Teams: map[string]configuration.Team{"vets": {Share: 1, Limit: 60}},
		Keys:  map[string]configuration.Key{"vets": {Team: "vets", Hash: configuration.HexKeyHash(secret)}},
	}
}
