// Package matrix tests the system's guarantees under faults: it injects every
// fault at every step of a request and around every kind of configuration
// change, and loads the teams' limits under faults. The daemons are the real
// ones, over fakes at their ports, in virtual time.
package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/daemon"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/backend"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/settings"
	"github.com/beryltide/beryltide/internal/standin"
)

// Sizes and times of an answersHarness.
const (
	answersWorkers        = 2
	answersSlotsPerWorker = 4
	answersTeamLimit      = 12
	taskDuration          = 300 * time.Millisecond
	drainTimeout          = 2 * time.Second
	balancerDelay         = 2 * time.Second
)

// answersHarness is a fleet of daemons over a simulated platform.
type answersHarness struct {
	t        *testing.T
	ctx      context.Context
	cancel   context.CancelFunc
	network  *answersNetwork
	log      *standin.Log
	recorder *standin.Recorder
	workers  []*worker
	document *configuration.Document

	mu       sync.Mutex
	entries  []*entryInstance
	listings []platform.Listing
}

type worker struct {
	name    string
	backend *standin.Backend
	server  *http.Server
}

// entryInstance is an entry instance with the one daemon that runs on it.
type entryInstance struct {
	name string
	stop context.CancelFunc
	done chan struct{}
	// stopped is set once the daemon was killed or its planned stop began.
	stopped bool
}

func newAnswersHarness(t *testing.T, daemons int) *answersHarness {
	h := &answersHarness{
		t:        t,
		network:  newAnswersNetwork(),
		log:      standin.NewLog(0),
		recorder: standin.NewRecorder(),
		document: answersDocument(),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for i := range answersWorkers {
		h.addWorker(fmt.Sprint("worker-", i))
	}
	h.apply(h.document)
	for range daemons {
		h.addEntry()
	}
	h.waitUntil("all daemons to be ready", func() bool {
		return !slices.ContainsFunc(h.runningEntries(), func(e *entryInstance) bool { return !h.ready(e) })
	})
	time.Sleep(3 * time.Second) // until instances are adopted and credits are granted
	return h
}

func (h *answersHarness) addWorker(name string) {
	l := standin.Listing{Instance: name, DataCentre: "dc1", Slots: answersSlotsPerWorker}
	w := &worker{name: name, backend: standin.NewBackend(l, taskDuration, h.recorder)}
	w.server = &http.Server{Handler: w.backend}
	go w.server.Serve(h.network.listen(name + ":80"))
	h.workers = append(h.workers, w)
	h.listings = append(h.listings, platform.Listing{
		Instance: name, Role: platform.RoleWorker, DataCentre: "dc1", Rack: name, Addr: name + ":80", Slots: answersSlotsPerWorker,
	})
}

// addEntry starts a daemon on a new instance.
func (h *answersHarness) addEntry() *entryInstance {
	h.mu.Lock()
	name := fmt.Sprint("entry-", len(h.entries))
	h.listings = append(h.listings, platform.Listing{
		Instance: name, Role: platform.RoleEntry, DataCentre: "dc1", Rack: name, Addr: name + ":2",
	})
	h.mu.Unlock()
	conf := settings.Default()
	conf.Instance, conf.Rack, conf.DataCentre = name, name, "dc1"
	conf.Peers.Advertise, conf.Operations.Advertise = name+":2", name+":3"
	conf.Timeouts.BalancerDelay = configuration.Duration(balancerDelay)
	conf.Timeouts.Drain = configuration.Duration(drainTimeout)
	d, err := daemon.New(conf, daemon.Ports{
		Log:       &hostLog{host: name, harness: h, log: logclient.New("http://log", standin.Transport{Handler: h.log})},
		Directory: answersDirectory{h},
		Backends: backend.New(backend.Options{
			TaskConns:    8,
			ControlConns: 1,
			MaxAnswer:    1 << 20,
			Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return h.network.dial(ctx, name, addr)
			},
		}),
		DialPeer:   func(ctx context.Context, addr string) (net.Conn, error) { return h.network.dial(ctx, name, addr) },
		Callers:    h.network.listen(name + ":1"),
		Peers:      h.network.listen(name + ":2"),
		Operations: h.network.listen(name + ":3"),
	}, zap.NewNop())
	if err != nil {
		h.t.Error(err)
	}
	ctx, stop := context.WithCancel(h.ctx)
	e := &entryInstance{name: name, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		// A killed daemon returns errors, which don't matter.
		_ = d.Run(ctx)
	}()
	h.mu.Lock()
	h.entries = append(h.entries, e)
	h.mu.Unlock()
	return e
}

// killEntry ends a daemon abruptly and removes its instance from the directory.
func (h *answersHarness) killEntry(e *entryInstance) {
	h.network.takeDown(e.name)
	h.markStopped(e)
	e.stop()
}

// stopEntry starts a daemon's planned stop and removes its instance from the
// directory.
func (h *answersHarness) stopEntry(e *entryInstance) {
	h.markStopped(e)
	e.stop()
}

func (h *answersHarness) markStopped(e *entryInstance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.stopped = true
	h.listings = slices.DeleteFunc(h.listings, func(l platform.Listing) bool { return l.Instance == e.name })
}

// killWorker ends a backend server and all tasks running on it.
func (h *answersHarness) killWorker(w *worker) {
	h.network.takeDown(w.name)
	w.backend.StopTasks()
}

func (h *answersHarness) runningEntries() []*entryInstance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.entries), func(e *entryInstance) bool { return e.stopped })
}

func (h *answersHarness) allEntries() []*entryInstance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

func (h *answersHarness) apply(doc *configuration.Document) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Minute)
	defer cancel()
	log := logclient.New("http://log", standin.Transport{Handler: h.log})
	if _, err := operator.Apply(ctx, log, operator.Change{Document: doc, Base: operator.AnyBase, Operator: "op"}); err != nil {
		h.t.Error(err)
	}
}

func (h *answersHarness) setFault(f standin.Fault) {
	for _, w := range h.workers {
		w.backend.SetFault(f)
	}
}

func (h *answersHarness) ready(e *entryInstance) bool {
	client := h.client("operator")
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + e.name + ":3/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *answersHarness) client(host string) *http.Client {
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return h.network.dial(ctx, host, addr) },
	}}
}

func (h *answersHarness) waitUntil(what string, cond func() bool) {
	for range 600 {
		if cond() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.t.Errorf("timed out waiting for %s", what)
}

// close stops all daemons and waits until their remaining timers and goroutines
// end.
func (h *answersHarness) close() {
	h.cancel()
	for _, e := range h.entries {
		<-e.done
	}
	for _, w := range h.workers {
		w.server.Close()
	}
	h.network.close()
	time.Sleep(2 * time.Minute)
}

// reply is the result of a request at the caller.
type reply struct {
	status        int
	verdict, code string
	body          string
	// startsSeen is how many times the body had been started when the reply
	// arrived.
	startsSeen int
	err        error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK }

// submission holds the parameters of one request.
type submission struct {
	queue, body, key string
	timeout          time.Duration
}

// submit sends a request to a daemon and returns the reply, with startsSeen set.
func (h *answersHarness) submit(ctx context.Context, to *entryInstance, s submission) reply {
	r := h.send(ctx, to, s)
	r.startsSeen = h.starts(s.body)
	return r
}

func (h *answersHarness) send(ctx context.Context, to *entryInstance, s submission) reply {
	client := h.client("caller")
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+to.name+":1/v1/queues/"+s.queue+"/tasks", bytes.NewReader([]byte(s.body)))
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Request-Timeout", fmt.Sprint(s.timeout.Milliseconds()))
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(data), err: err}
	var problem struct{ Verdict, Code string }
	if resp.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(data, &problem) == nil {
		r.verdict, r.code = problem.Verdict, problem.Code
	}
	return r
}

// starts returns how many times backend servers started a body.
func (h *answersHarness) starts(body string) int {
	excerpt := body[:min(len(body), 256)]
	n := 0
	for _, s := range h.recorder.Report().Starts {
		if s.Body == excerpt {
			n++
		}
	}
	return n
}

// hostLog is the log as seen from one host, across the network.
type hostLog struct {
	host    string
	harness *answersHarness
	log     platform.Log
}

func (l *hostLog) Append(ctx context.Context, s platform.Stream, data []byte) error {
	l.harness.network.notifyObserver(l.host, "log", data)
	if err := l.harness.network.awaitPath(ctx.Done(), l.host, "log"); err != nil {
		return err
	}
	return l.log.Append(ctx, s, data)
}

func (l *hostLog) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if err := l.harness.network.awaitPath(ctx.Done(), l.host, "log"); err != nil {
		return platform.Batch{}, err
	}
	batch, err := l.log.Read(ctx, s, from, limit, wait)
	if cutErr := l.harness.network.awaitPath(ctx.Done(), l.host, "log"); cutErr != nil {
		return platform.Batch{}, cutErr
	}
	return batch, err
}

// answersDirectory lists the instances that haven't been stopped.
type answersDirectory struct{ harness *answersHarness }

func (d answersDirectory) List(context.Context) ([]platform.Listing, error) {
	d.harness.mu.Lock()
	defer d.harness.mu.Unlock()
	return slices.Clone(d.harness.listings), nil
}

func (d answersDirectory) Reboot(context.Context, string, string) error {
	return errors.New("this fake directory can't reboot instances")
}

// answersDocument is the first configuration of each cell.
func answersDocument() *configuration.Document {
	orders := configuration.Queue{
		Service: "engraving",
		Pool:    "engraving",
		RunTime: configuration.Duration(2 * time.Second),
		MaxBody: 64 << 10,
		Depth:   200,
	}
	previews := orders
	previews.Idempotent = true
	return &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc1": {Region: "r", InService: true}},
		Services: map[string]configuration.Service{"engraving": {
			AvailabilityObjective: 0.99,
			LatencyObjective:      configuration.Duration(time.Second),
			DailyBudget:           1,
		}},
		Pools: map[string]configuration.Pool{
			"engraving": {Service: "engraving", Size: answersWorkers, MinSize: 1, MaxSize: answersWorkers},
			"spare":     {MaxSize: answersWorkers, Spare: true},
		},
		Queues: map[string]configuration.Queue{"orders": orders, "previews": previews},
		Teams:  map[string]configuration.Team{"vets": {Share: 1, Limit: answersTeamLimit}},
		Keys:   map[string]configuration.Key{"vets-1": {Team: "vets", Hash: configuration.HexKeyHash("secret")}},
	}
}
