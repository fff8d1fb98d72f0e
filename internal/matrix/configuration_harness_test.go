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

// Sizes and times of a cell.
const (
	fleetDaemons  = 3
	fleetWorkers  = 6
	teamLimit     = 6
	callEvery     = 100 * time.Millisecond
	callTimeout   = 10 * time.Second
	sampleEvery   = 50 * time.Millisecond
	inForceWithin = 5 * time.Second
	stopsWithin   = 3 * time.Second
)

// site is one fleet with its daemons, platform, callers and observers.
type site struct {
	t       *testing.T
	log     *sharedLog
	net     *network
	dir     *directoryPort
	backend *backendPort
	nodes   []*node
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu      sync.Mutex
	results []result
	// fell names the samples in which a ready daemon's revision was lower
	// than one it had shown before.
	fell []string
}

// node is an entry instance, on which daemons run one after another.
type node struct {
	name string
	// life is the present daemon's; lives are all.
	life    *life
	lives   []*life
	highest uint64
}

// result is what a caller got.
type result struct {
	node, team, queue, body string
	sent                    time.Time
	status                  int
	verdict, code           string
	whole                   bool
}

func newSite(t *testing.T) *site {
	s := &site{t: t, log: newSharedLog(), net: newNetwork(), dir: &directoryPort{}}
	s.backend = &backendPort{
		centreOf: map[string]string{},
		slots:    8,
		runTime:  300 * time.Millisecond,
		running:  map[string]int{},
		byTeam:   map[string]int{},
		most:     map[string]int{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	t.Cleanup(s.end)
	for i := range fleetWorkers {
		w := platform.Listing{
			Instance:   fmt.Sprintf("worker-%d", i),
			Role:       platform.RoleWorker,
			DataCentre: fmt.Sprintf("dc%d", i%2+1),
			Rack:       fmt.Sprintf("rack-%d", i),
			Addr:       fmt.Sprintf("worker-%d:80", i),
			Slots:      s.backend.slots,
		}
		s.backend.centreOf[w.Addr] = w.DataCentre
		s.dir.instances = append(s.dir.instances, w)
	}
	for i := range fleetDaemons {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		s.nodes = append(s.nodes, n)
		s.dir.instances = append(s.dir.instances, platform.Listing{
			Instance: n.name, Role: platform.RoleEntry, DataCentre: "dc1", Addr: n.name + ":2",
		})
	}
	return s
}

// launch starts a daemon on a node.
func (s *site) launch(n *node) {
	alive := &life{log: newLogPort(s.log), done: make(chan struct{})}
	conf := settings.Default()
	conf.Instance, conf.Rack, conf.DataCentre = n.name, "rack-"+n.name, "dc1"
	conf.Callers.Listen = n.name + ":1"
	conf.Peers.Advertise = n.name + ":2"
	conf.Operations.Advertise = n.name + ":3"
	conf.Timeouts.BalancerDelay = configuration.Duration(time.Millisecond)
	conf.Timeouts.Drain = configuration.Duration(time.Second)
	d, err := daemon.New(conf, daemon.Ports{
		Log:       alive.log,
		Directory: s.dir,
		Backends:  lifeBackends{s.backend, alive},
		DialPeer: func(ctx context.Context, addr string) (net.Conn, error) {
			if alive.over.Load() {
				return nil, errCut
			}
			return s.net.dial(ctx, n.name, addr, true)
		},
		Callers:    s.net.listen(n.name + ":1"),
		Peers:      s.net.listen(n.name + ":2"),
		Operations: s.net.listen(n.name + ":3"),
	}, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	alive.stop = cancel
	n.life = alive
	n.lives = append(n.lives, alive)
	go func() {
		defer close(alive.done)
		if err := d.Run(ctx); err != nil && !alive.over.Load() {
			s.t.Errorf("%s: %v", n.name, err)
		}
	}()
}

// kill ends a node's daemon without a word to anyone: all its ways out lead
// nowhere before it is told to stop.
func (s *site) kill(n *node) {
	n.life.over.Store(true)
	n.life.log.setCut(true)
	s.net.vanish(n.name)
	n.life.stop()
}

// status asks a daemon's operations port.
func (s *site) status(n *node) (status.Status, error) {
	var st status.Status
	resp, err := s.client().Get("http://" + n.name + ":3/v1/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

func (s *site) client() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return s.net.dial(ctx, "caller", addr, false)
		},
	}}
}

// await waits until the condition holds, and fails the test after a time.
func (s *site) await(what string, within time.Duration, cond func() bool) {
	s.t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %s: %s", within, what)
		}
	}
}

func (s *site) ready(n *node) bool {
	st, err := s.status(n)
	return err == nil && st.Ready
}

// inForce tells whether each of the nodes has a revision in force.
func (s *site) inForce(revision uint64, nodes ...*node) bool {
	for _, n := range nodes {
		st, err := s.status(n)
		if err != nil || st.Revision < revision {
			return false
		}
	}
	return true
}

// apply applies a document as the command-line tool does.
func (s *site) apply(doc *configuration.Document, base uint64) (operator.Applied, error) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
	defer cancel()
	return operator.Apply(ctx, newLogPort(s.log), operator.Change{Document: doc, Base: base, Operator: "op"})
}

// begin starts all daemons, applies the first configuration and starts
// callers and observers.
func (s *site) begin(early func(s *site)) {
	s.t.Helper()
	if _, err := s.apply(siteDocument(), 0); err != nil {
		s.t.Fatal(err)
	}
	for _, n := range s.nodes {
		s.launch(n)
	}
	for _, n := range s.nodes {
		s.await(n.name+" is ready", 10*time.Second, func() bool { return s.ready(n) })
		s.observe(n)
	}
	if early != nil {
		early(s)
	}
	for _, n := range s.nodes {
		for _, team := range []string{"a", "b"} {
			s.callAgain(n, team, "orders")
		}
		s.callAgain(n, "a", "previews")
	}
	time.Sleep(3 * time.Second)
}

// end stops everything and waits for it.
func (s *site) end() {
	s.cancel()
	s.work.Wait()
	for _, n := range s.nodes {
		for _, l := range n.lives {
			<-l.done
		}
	}
	s.net.close()
	// Leases of lost tasks lapse meanwhile, and with them their goroutines.
	time.Sleep(20 * time.Second)
}

// observe samples a daemon's revision.
func (s *site) observe(n *node) {
	s.work.Go(func() {
		for s.ctx.Err() == nil {
			time.Sleep(sampleEvery)
			st, err := s.status(n)
			if err != nil || !st.Ready {
				continue
			}
			s.mu.Lock()
			if st.Revision < n.highest {
				s.fell = append(s.fell, fmt.Sprintf("%s: from %d to %d", n.name, n.highest, st.Revision))
			}
			n.highest = max(n.highest, st.Revision)
			s.mu.Unlock()
		}
	})
}

// callAgain submits tasks to a daemon, at a steady rate.
func (s *site) callAgain(n *node, team, queue string) {
	s.work.Go(func() {
		for i := 0; s.ctx.Err() == nil; i++ {
			s.work.Go(func() { s.call(n, team, queue, fmt.Sprintf("%s/%s/%s/%d", n.name, team, queue, i)) })
			time.Sleep(callEvery)
		}
	})
}

func (s *site) call(n *node, team, queue, body string) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost,
		"http://"+n.name+":1/v1/queues/"+queue+"/tasks", bytes.NewBufferString(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer secret-"+team)
	req.Header.Set("Request-Timeout", fmt.Sprint(callTimeout.Milliseconds()))
	r := result{node: n.name, team: team, queue: queue, body: body, sent: time.Now()}
	resp, err := s.client().Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.status = resp.StatusCode
	r.whole = string(data) == body
	var problem struct{ Verdict, Code string }
	if r.status != http.StatusOK && json.Unmarshal(data, &problem) == nil {
		r.verdict, r.code = problem.Verdict, problem.Code
	}
	s.mu.Lock()
	s.results = append(s.results, r)
	s.mu.Unlock()
}

// siteDocument is the first configuration of each cell.
func siteDocument() *configuration.Document {
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
