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
	// Each condition must come within patience; a run that waits so long has
	// failed.
	patience = 90 * time.Second
	// progress is how many more good answers show that requests flow.
	progress = 60
	clients  = 8
	secret   = "e2e-secret-of-vets"
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

// site is a platform with three daemons that speak TLS to one another.
type site struct {
	lab      *lab.Lab
	platform string
	daemons  []*lab.Daemon

	mu    sync.Mutex
	ready []string
}

func newSite(t *testing.T, ctx context.Context) *site {
	t.Helper()
	is := is.New(t)
	l, err := lab.New(programs)
	is.NoErr(err)
	s := &site{lab: l}
	t.Cleanup(func() { is.NoErr(l.Close()) })
	s.platform, _, err = l.Standin("-instances", "12", "-run-time", "20ms", "-reboot-time", "1s")
	is.NoErr(err)
	_, err = lab.Configure(ctx, s.platform, 0, &configuration.Document{}, document())
	is.NoErr(err)
	tls := newCertificates(t)
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		d, err := l.Daemon(name, "trd1", s.platform, func(settings map[string]any) {
			peers := settings["peers"].(map[string]any)
			delete(peers, "plaintext")
			peers["certificate"], peers["key"], peers["authority"] = tls.certificate, tls.key, tls.authority
			settings["timeouts"] = map[string]any{"balancerDelay": "1s", "drain": "10s"}
		})
		is.NoErr(err)
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		is.NoErr(d.Ready(ctx))
	}
	is.NoErr(lab.Until(ctx, "the pool has its instances", func() bool {
		st, err := s.daemons[0].Status()
		return err == nil && len(st.Instances) == 12
	}))
	go s.balance(ctx)
	return s
}

// balance keeps the addresses of ready daemons, as the platform's balancer
// does.
func (s *site) balance(ctx context.Context) {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		var ready []string
		for _, d := range s.daemons {
			resp, err := client.Get("http://" + d.Operations + "/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, d.Callers)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (s *site) addrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// flow waits until requests flow again after a fault.
func (s *site) flow(t *testing.T, ctx context.Context, c *callers) {
	t.Helper()
	before := c.good.Load()
	err := lab.Until(ctx, "requests flow", func() bool { return c.good.Load() >= before+progress })
	if err != nil {
		t.Fatal(err)
	}
}

func TestKillsAndFreezes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := newSite(t, ctx)
	c := startCallers(clients, "engraving", secret, s.addrs)
	s.flow(t, ctx, c)
	for _, d := range s.daemons {
		d.Kill()
		s.flow(t, ctx, c)
		is.NoErr(s.lab.Restart(d))
		is.NoErr(d.Ready(ctx))
		s.flow(t, ctx, c)
	}
	for _, d := range s.daemons {
		is.NoErr(d.Signal(syscall.SIGSTOP))
		s.flow(t, ctx, c)
		is.NoErr(d.Signal(syscall.SIGCONT))
		is.NoErr(d.Ready(ctx))
	}
	s.flow(t, ctx, c)
	check(t, s.platform, c.end())
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := newSite(t, ctx)
	c := startCallers(clients, "engraving", secret, s.addrs)
	for _, d := range s.daemons {
		s.flow(t, ctx, c)
		is.NoErr(d.Stop())
		is.NoErr(s.lab.Restart(d))
		is.NoErr(d.Ready(ctx))
	}
	s.flow(t, ctx, c)
	results := c.end()
	check(t, s.platform, results)
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
