package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/daemon"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/settings"
	"github.com/beryltide/beryltide/internal/status"
)

// Sizes, rates and time bounds of a cell.
const (
	fleetDaemons    = 3
	fleetWorkers    = 6
	teamLimit       = 6
	callInterval    = 100 * time.Millisecond
	callTimeout     = 10 * time.Second
	sampleInterval  = 50 * time.Millisecond
	activationBound = 5 * time.Second
	stopBound       = 3 * time.Second
)

// configurationHarness is a fleet of daemons with its platform, callers and
// observers.
type configurationHarness struct {
	t         *testing.T
	log       *sharedLog
	network   *configurationNetwork
	directory *directoryPort
	backend   *backendPort
	nodes     []*node
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu      sync.Mutex
	results []result
	// revisionDrops describes the samples in which a ready daemon's revision
	// was lower than in an earlier one.
	revisionDrops []string
}

// node is an entry instance, on which daemons run one after another.
type node struct {
	name string
	// run is the current daemon's run; runs holds all of them.
	run             *daemonRun
	runs            []*daemonRun
	highestRevision uint64
}

// result is the reply to a caller's request.
type result struct {
	node, team, queue, body string
	sentAt                  time.Time
	status                  int
	verdict, code           string
	bodyMatches             bool
}

func newConfigurationHarness(t *testing.T) *configurationHarness {
	h := &configurationHarness{t: t, log: newSharedLog(), network: newConfigurationNetwork(), directory: &directoryPort{}}
	h.backend = &backendPort{
		dataCentreOf:  map[string]string{},
		slots:         8,
		runTime:       300 * time.Millisecond,
		running:       map[string]int{},
		runningByTeam: map[string]int{},
		peakByTeam:    map[string]int{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	t.Cleanup(h.end)
	for i := range fleetWorkers {
		w := platform.Listing{
			Instance:   fmt.Sprintf("worker-%d", i),
			Role:       platform.RoleWorker,
			DataCentre: fmt.Sprintf("dc%d", i%2+1),
			Rack:       fmt.Sprintf("rack-%d", i),
			Addr:       fmt.Sprintf("worker-%d:80", i),
			Slots:      h.backend.slots,
		}
		h.backend.dataCentreOf[w.Addr] = w.DataCentre
		h.directory.instances = append(h.directory.instances, w)
	}
	for i := range fleetDaemons {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		h.nodes = append(h.nodes, n)
		h.directory.instances = append(h.directory.instances, platform.Listing{
			Instance: n.name, Role: platform.RoleEntry, DataCentre: "dc1", Addr: n.name + ":2",
		})
	}
	return h
}

// startDaemon starts a daemon on a node.
func (h *configurationHarness) startDaemon(n *node) {
	run := &daemonRun{log: newLogPort(h.log), done: make(chan struct{})}
	conf := settings.Default()
	conf.Instance, conf.Rack, conf.DataCentre = n.name, "rack-"+n.name, "dc1"
	conf.Callers.Listen = n.name + ":1"
	conf.Peers.Advertise = n.name + ":2"
	conf.Operations.Advertise = n.name + ":3"
	conf.Timeouts.BalancerDelay = configuration.Duration(time.Millisecond)
	conf.Timeouts.Drain = configuration.Duration(time.Second)
	d, err := daemon.New(conf, daemon.Ports{
		Log:       run.log,
		Directory: h.directory,
		Backends:  runBackends{h.backend, run},
		DialPeer: func(ctx context.Context, addr string) (net.Conn, error) {
			if run.killed.Load() {
				return nil, errCut
			}
			return h.network.dial(ctx, n.name, addr, true)
		},
		Callers:    h.network.listen(n.name + ":1"),
		Peers:      h.network.listen(n.name + ":2"),
		Operations: h.network.listen(n.name + ":3"),
	}, zap.NewNop())
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(h.ctx)
	run.stop = cancel
	n.run = run
	n.runs = append(n.runs, run)
	go func() {
		defer close(run.done)
		if err := d.Run(ctx); err != nil && !run.killed.Load() {
			h.t.Errorf("%s: %v", n.name, err)
		}
	}()
}

// killDaemon ends a node's daemon abruptly: all its connections and calls are
// cut before its context is cancelled.
func (h *configurationHarness) killDaemon(n *node) {
	n.run.killed.Store(true)
	n.run.log.setCut(true)
	h.network.removeProcess(n.name)
	n.run.stop()
}

// status queries a daemon's operations port.
func (h *configurationHarness) status(n *node) (status.Status, error) {
	var st status.Status
	resp, err := h.client().Get("http://" + n.name + ":3/v1/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

func (h *configurationHarness) client() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return h.network.dial(ctx, "caller", addr, false)
		},
	}}
}

// waitUntil polls the condition until it holds, and fails the test after the
// given time.
func (h *configurationHarness) waitUntil(what string, within time.Duration, cond func() bool) {
	h.t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out after %s waiting for %s", within, what)
		}
	}
}

func (h *configurationHarness) ready(n *node) bool {
	st, err := h.status(n)
	return err == nil && st.Ready
}

// revisionActive reports whether the revision or a later one is active at each
// of the nodes.
func (h *configurationHarness) revisionActive(revision uint64, nodes ...*node) bool {
	for _, n := range nodes {
		st, err := h.status(n)
		if err != nil || st.Revision < revision {
			return false
		}
	}
	return true
}

// apply applies a document as the command-line tool does.
func (h *configurationHarness) apply(doc *configuration.Document, base uint64) (operator.Applied, error) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
	defer cancel()
	return operator.Apply(ctx, newLogPort(h.log), operator.Change{Document: doc, Base: base, Operator: "op"})
}

// begin applies the first configuration, starts all daemons, and then the
// callers and observers.
func (h *configurationHarness) begin(beforeCallers func(h *configurationHarness)) {
	h.t.Helper()
	if _, err := h.apply(configurationDocument(), 0); err != nil {
		h.t.Fatal(err)
	}
	for _, n := range h.nodes {
		h.startDaemon(n)
	}
	for _, n := range h.nodes {
		h.waitUntil(n.name+" to be ready", 10*time.Second, func() bool { return h.ready(n) })
		h.observe(n)
	}
	if beforeCallers != nil {
		beforeCallers(h)
	}
	for _, n := range h.nodes {
		for _, team := range []string{"a", "b"} {
			h.callRepeatedly(n, team, "orders")
		}
		h.callRepeatedly(n, "a", "previews")
	}
	time.Sleep(3 * time.Second)
}

// end stops the daemons, callers and observers and waits for them. It may be
// called twice.
func (h *configurationHarness) end() {
	h.cancel()
	h.work.Wait()
	for _, n := range h.nodes {
		for _, run := range n.runs {
			<-run.done
		}
	}
	h.network.close()
	// Leases of lost tasks expire meanwhile, which ends their goroutines.
	time.Sleep(20 * time.Second)
}

// observe samples the revision that a daemon reports while ready.
func (h *configurationHarness) observe(n *node) {
	h.work.Go(func() {
		for h.ctx.Err() == nil {
			time.Sleep(sampleInterval)
			st, err := h.status(n)
			if err != nil || !st.Ready {
				continue
			}
			h.mu.Lock()
			if st.Revision < n.highestRevision {
				h.revisionDrops = append(h.revisionDrops, fmt.Sprintf("%s: from %d to %d", n.name, n.highestRevision, st.Revision))
			}
			n.highestRevision = max(n.highestRevision, st.Revision)
			h.mu.Unlock()
		}
	})
}

// callRepeatedly submits tasks to a daemon at a constant rate.
func (h *configurationHarness) callRepeatedly(n *node, team, queue string) {
	h.work.Go(func() {
		for i := 0; h.ctx.Err() == nil; i++ {
			h.work.Go(func() { h.call(n, team, queue, fmt.Sprintf("%s/%s/%s/%d", n.name, team, queue, i)) })
			time.Sleep(callInterval)
		}
	})
}

func (h *configurationHarness) call(n *node, team, queue, body string) {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost,
		"http://"+n.name+":1/v1/queues/"+queue+"/tasks", bytes.NewBufferString(body))
	if err != nil {
		h.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer secret-"+team)
	req.Header.Set("Request-Timeout", fmt.Sprint(callTimeout.Milliseconds()))
	r := result{node: n.name, team: team, queue: queue, body: body, sentAt: time.Now()}
	resp, err := h.client().Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.status = resp.StatusCode
	r.bodyMatches = string(data) == body
	var problem struct{ Verdict, Code string }
	if r.status != http.StatusOK && json.Unmarshal(data, &problem) == nil {
		r.verdict, r.code = problem.Verdict, problem.Code
	}
	h.mu.Lock()
	h.results = append(h.results, r)
	h.mu.Unlock()
}

// configurationDocument is the first configuration of each cell.
func configurationDocument() *configuration.Document {
	order := configuration.Queue{
		Service: "engraving", Pool: "engraving", RunTime: configuration.Duration(time.Second), MaxBody: 1 << 10, Depth: 200,
	}
	preview := order
	preview.Idempotent = true
	return &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{
			"dc1": {Region: "r", InService: true}, "dc2": {Region: "r", InService: true},
		},
		Services: map[string]configuration.Service{"engraving": {
			AvailabilityObjective: 0.99, LatencyObjective: configuration.Duration(time.Second), DailyBudget: 2,
		}},
		Pools: map[string]configuration.Pool{
			"engraving": {Service: "engraving", Size: 6, MinSize: 2, MaxSize: 6},
			"spare":     {MaxSize: 6, Spare: true},
		},
		Queues: map[string]configuration.Queue{"orders": order, "previews": preview},
		Teams:  map[string]configuration.Team{"a": {Share: 1, Limit: teamLimit}, "b": {Share: 1, Limit: teamLimit}},
		Keys: map[string]configuration.Key{
			"a": {Team: "a", Hash: configuration.HexKeyHash("secret-a")},
			"b": {Team: "b", Hash: configuration.HexKeyHash("secret-b")},
		},
	}
}
