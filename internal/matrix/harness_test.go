// Package matrix proves the promises by a fault matrix: every fault at every
// step, on real daemons over fakes at the ports, in virtual time.
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

// Sizes and times of a rig.
const (
	rigWorkers = 2
	rigSlots   = 4
	rigLimit   = 12
	taskTime   = 300 * time.Millisecond
	drainTime  = 2 * time.Second
	delayTime  = 2 * time.Second
)

// rig is a fleet of daemons over a stand-in platform.
type rig struct {
	t        *testing.T
	ctx      context.Context
	cancel   context.CancelFunc
	wire     *wire
	log      *standin.Log
	recorder *standin.Recorder
	workers  []*worker
	document *configuration.Document

	mu      sync.Mutex
	entries []*entryHost
	listed  []platform.Listing
}

type worker struct {
	name    string
	backend *standin.Backend
	server  *http.Server
}

// entryHost is one run of a daemon, on an instance of its own.
type entryHost struct {
	name string
	stop context.CancelFunc
	done chan struct{}
	// gone is set once the daemon was killed or told to stop.
	gone bool
}

func newRig(t *testing.T, daemons int) *rig {
	r := &rig{
		t:        t,
		wire:     newWire(),
		log:      standin.NewLog(0),
		recorder: standin.NewRecorder(),
		document: rigDocument(),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for i := range rigWorkers {
		r.addWorker(fmt.Sprint("worker-", i))
	}
	r.apply(r.document)
	for range daemons {
		r.addEntry()
	}
	r.await("all ready", func() bool {
		return !slices.ContainsFunc(r.alive(), func(e *entryHost) bool { return !r.ready(e) })
	})
	time.Sleep(3 * time.Second) // instances are adopted and credits granted
	return r
}

func (r *rig) addWorker(name string) {
	l := standin.Listing{Instance: name, DataCentre: "dc1", Slots: rigSlots}
	w := &worker{name: name, backend: standin.NewBackend(l, taskTime, r.recorder)}
	w.server = &http.Server{Handler: w.backend}
	go w.server.Serve(r.wire.listen(name + ":80"))
	r.workers = append(r.workers, w)
	r.listed = append(r.listed, platform.Listing{
		Instance: name, Role: platform.RoleWorker, DataCentre: "dc1", Rack: name, Addr: name + ":80", Slots: rigSlots,
	})
}

// addEntry starts a daemon on a new instance.
func (r *rig) addEntry() *entryHost {
	r.mu.Lock()
	name := fmt.Sprint("entry-", len(r.entries))
	r.listed = append(r.listed, platform.Listing{
		Instance: name, Role: platform.RoleEntry, DataCentre: "dc1", Rack: name, Addr: name + ":2",
	})
	r.mu.Unlock()
	conf := settings.Default()
	conf.Instance, conf.Rack, conf.DataCentre = name, name, "dc1"
	conf.Peers.Advertise, conf.Operations.Advertise = name+":2", name+":3"
	conf.Timeouts.BalancerDelay = configuration.Duration(delayTime)
	conf.Timeouts.Drain = configuration.Duration(drainTime)
	d, err := daemon.New(conf, daemon.Ports{
		Log:       &hostLog{host: name, rig: r, log: logclient.New("http://log", standin.Transport{Handler: r.log})},
		Directory: rigDirectory{r},
		Backends: backend.New(backend.Options{
			TaskConns:    8,
			ControlConns: 1,
			MaxAnswer:    1 << 20,
			Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return r.wire.dial(ctx, name, addr)
			},
		}),
		DialPeer:   func(ctx context.Context, addr string) (net.Conn, error) { return r.wire.dial(ctx, name, addr) },
		Callers:    r.wire.listen(name + ":1"),
		Peers:      r.wire.listen(name + ":2"),
		Operations: r.wire.listen(name + ":3"),
	}, zap.NewNop())
	if err != nil {
		r.t.Error(err)
	}
	ctx, stop := context.WithCancel(r.ctx)
	e := &entryHost{name: name, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		// A killed daemon's errors are its own.
		_ = d.Run(ctx)
	}()
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	return e
}

// killEntry ends a daemon without a word; the platform lists it no more.
func (r *rig) killEntry(e *entryHost) {
	r.wire.takeDown(e.name)
	r.part(e)
	e.stop()
}

// stopEntry starts a daemon's planned stop.
func (r *rig) stopEntry(e *entryHost) {
	r.part(e)
	e.stop()
}

func (r *rig) part(e *entryHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.gone = true
	r.listed = slices.DeleteFunc(r.listed, func(l platform.Listing) bool { return l.Instance == e.name })
}

// killWorker ends a backend server with all that it runs.
func (r *rig) killWorker(w *worker) {
	r.wire.takeDown(w.name)
	w.backend.Cut()
}

func (r *rig) alive() []*entryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.entries), func(e *entryHost) bool { return e.gone })
}

func (r *rig) entryList() []*entryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

func (r *rig) apply(doc *configuration.Document) {
	ctx, cancel := context.WithTimeout(r.ctx, time.Minute)
	defer cancel()
	log := logclient.New("http://log", standin.Transport{Handler: r.log})
	if _, err := operator.Apply(ctx, log, operator.Change{Document: doc, Base: operator.AnyBase, Operator: "op"}); err != nil {
		r.t.Error(err)
	}
}

func (r *rig) setFault(f standin.Fault) {
	for _, w := range r.workers {
		w.backend.SetFault(f)
	}
}

func (r *rig) ready(e *entryHost) bool {
	client := r.client("operator")
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + e.name + ":3/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) client(host string) *http.Client {
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return r.wire.dial(ctx, host, addr) },
	}}
}

func (r *rig) await(what string, cond func() bool) {
	for range 600 {
		if cond() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Errorf("not in time: %s", what)
}

// close ends all daemons and lets what they left behind end.
func (r *rig) close() {
	r.cancel()
	for _, e := range r.entries {
		<-e.done
	}
	for _, w := range r.workers {
		w.server.Close()
	}
	r.wire.close()
	time.Sleep(2 * time.Minute)
}

// reply is what a caller got.
type reply struct {
	status        int
	verdict, code string
	body          string
	// starts is how often the body had been started when the reply came.
	starts int
	err    error
}

func (p reply) ok() bool { return p.err == nil && p.status == http.StatusOK }

// submission is one request.
type submission struct {
	queue, body, key string
	timeout          time.Duration
}

// submit sends a request to a daemon and waits for what comes of it.
func (r *rig) submit(ctx context.Context, to *entryHost, s submission) reply {
	p := r.exchange(ctx, to, s)
	p.starts = r.starts(s.body)
	return p
}

func (r *rig) exchange(ctx context.Context, to *entryHost, s submission) reply {
	client := r.client("caller")
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
	p := reply{status: resp.StatusCode, body: string(data), err: err}
	var problem struct{ Verdict, Code string }
	if resp.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(data, &problem) == nil {
		p.verdict, p.code = problem.Verdict, problem.Code
	}
	return p
}

// starts returns how often backend servers started a body.
func (r *rig) starts(body string) int {
	excerpt := body[:min(len(body), 256)]
	n := 0
	for _, s := range r.recorder.Report().Starts {
		if s.Body == excerpt {
			n++
		}
	}
	return n
}

// hostLog is the log as one host reaches it.
type hostLog struct {
	host string
	rig  *rig
	log  platform.Log
}

func (l *hostLog) Append(ctx context.Context, s platform.Stream, data []byte) error {
	l.rig.wire.see(l.host, "log", data)
	if err := l.rig.wire.pass(ctx.Done(), l.host, "log"); err != nil {
		return err
	}
	return l.log.Append(ctx, s, data)
}

func (l *hostLog) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if err := l.rig.wire.pass(ctx.Done(), l.host, "log"); err != nil {
		return platform.Batch{}, err
	}
	batch, err := l.log.Read(ctx, s, from, limit, wait)
	if parted := l.rig.wire.pass(ctx.Done(), l.host, "log"); parted != nil {
		return platform.Batch{}, parted
	}
	return batch, err
}

// rigDirectory lists the instances that the platform still has.
type rigDirectory struct{ rig *rig }

func (d rigDirectory) List(context.Context) ([]platform.Listing, error) {
	d.rig.mu.Lock()
	defer d.rig.mu.Unlock()
	return slices.Clone(d.rig.listed), nil
}

func (d rigDirectory) Reboot(context.Context, string, string) error {
	return errors.New("no reboots here")
}

// rigDocument is the configuration in force at the start.
func rigDocument() *configuration.Document {
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
			"engraving": {Service: "engraving", Size: rigWorkers, MinSize: 1, MaxSize: rigWorkers},
			"spare":     {MaxSize: rigWorkers, Spare: true},
		},
		Queues: map[string]configuration.Queue{"orders": orders, "previews": previews},
		Teams:  map[string]configuration.Team{"vets": {Share: 1, Limit: rigLimit}},
		Keys:   map[string]configuration.Key{"vets-1": {Team: "vets", Hash: configuration.HexKeyHash("secret")}},
	}
}
