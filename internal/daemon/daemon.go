// Package daemon assembles one beryltided: the control loop, the handling of
// requests, and the ports for callers, peers and operations. It connects the parts
// and contains only the startup, readiness and shutdown logic.
package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/capacity"
	"github.com/beryltide/beryltide/internal/claims"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/departures"
	"github.com/beryltide/beryltide/internal/entry"
	"github.com/beryltide/beryltide/internal/handover"
	"github.com/beryltide/beryltide/internal/inventory"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/loadsync"
	"github.com/beryltide/beryltide/internal/memberlease"
	"github.com/beryltide/beryltide/internal/meter"
	"github.com/beryltide/beryltide/internal/metrics"
	"github.com/beryltide/beryltide/internal/operations"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/reclaim"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/settings"
	"github.com/beryltide/beryltide/internal/status"
	"github.com/beryltide/beryltide/internal/traffic"
	"github.com/beryltide/beryltide/internal/watch"
)

// Times that are not in the settings.
const (
	// contactLease is how long the daemon may start work after its last contact
	// with the log or with a quorum of the members.
	contactLease = 3 * time.Second
	// controlInterval is the minimum time between two runs of the controllers.
	controlInterval = 500 * time.Millisecond
	// readHeaderTimeout is the timeout for reading a request's headers.
	readHeaderTimeout = 5 * time.Second
	// leaveTimeout is the timeout for ending the membership at a stop.
	leaveTimeout = 5 * time.Second
	// cancelGrace is the time for answering the requests that are cancelled at the
	// drain deadline.
	cancelGrace = 2 * time.Second
)

// Ports are the daemon's connections to its environment.
type Ports struct {
	Log       platform.Log
	Directory platform.Directory
	Backends  platform.Backends
	DialPeer  peer.DialFunc
	// Callers, Peers and Operations are open listeners.
	Callers    net.Listener
	Peers      net.Listener
	Operations net.Listener
	// Meters count the bytes of the control connections. It may be nil.
	Meters *Meters
}

// Meters count the bytes of the daemon's control connections.
type Meters struct {
	Log       meter.Counter
	Directory meter.Counter
	Peers     meter.Counter
}

// Daemon is one beryltided.
type Daemon struct {
	settings settings.Settings
	ports    Ports
	logger   *zap.Logger

	loop         *control.Loop
	watcher      *listing.Watcher
	usage        *watch.Watcher
	broker       *traffic.Broker
	handler      *entry.Handler
	peers        *peer.Server
	client       *peer.Client
	loadExchange *loadsync.Exchange
	forwarded    *traffic.ForwardServer
	claims       *claims.Service
	handover     *handover.Participant
	account      *traffic.Account
	burn         *burnSource
	metrics      *metrics.Recorder
	// metricsPage serves the metrics, metricsCloser stops their reporting.
	metricsPage   http.Handler
	metricsCloser io.Closer
	stopping      chan struct{}
}

// New assembles a daemon. It starts nothing; Run does.
func New(s settings.Settings, ports Ports, logger *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, ports: ports, logger: logger, stopping: make(chan struct{})}
	departing := departures.New()
	d.watcher = listing.NewWatcher(ports.Directory, func(l *listing.List) {
		now := time.Now()
		departing.RecordList(l.Instances, now)
		d.broker.Refresh(now)
	}, logger)
	d.client = peer.NewClient(ports.DialPeer, s.Timeouts.Dial.D())
	scope, page, closer := metrics.New()
	d.metrics, d.metricsPage, d.metricsCloser = metrics.NewRecorder(scope), page, closer
	d.burn = newBurnSource(s.DataCentre, func() *control.View { return d.loop.View() }, d.metrics)
	d.account = traffic.NewAccount()
	account := d.account
	d.broker = traffic.NewBroker(traffic.Options{
		DataCentre: s.DataCentre,
		View:       func() *control.View { return d.loop.View() },
		Credits:    account,
		Backends:   ports.Backends,
		Forward:    d.client,
		MayStart:   d.mayStart,
		Departures: departing,
		Wake:       func() { d.loop.Wake() },
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:     logger,
	})
	remover := inventory.NewRemover(d.watcher.Newest)
	reclaimer := reclaim.New(reclaim.Options{
		Newest:      d.watcher.Newest,
		Contact:     func() time.Time { return d.loop.LogContact() },
		LastMessage: func(id record.MemberID) time.Time { return d.loadExchange.LastReceived(id) },
		Now:         time.Now,
	})
	d.usage = watch.New(watch.Options{
		View:     func() *control.View { return d.loop.View() },
		Backends: ports.Backends,
		OnUsage: func(instance string, u platform.Usage, at time.Time) {
			if u.Leaving {
				d.broker.MarkLeaving(instance, at)
			}
		},
	})
	d.claims = claims.NewService(
		claims.NewRegistry(claimOptions(s), time.Now),
		handover.NewPeers(func() *control.View { return d.loop.View() }, d.client),
	)
	d.handover = handover.New(d.claims, func() { d.loop.Wake() }, logger)
	planSource := capacity.New(capacity.Options{
		Directory: ports.Directory,
		Newest:    d.watcher.Newest,
		Contact:   func() time.Time { return d.loop.LogContact() },
		Demand:    d.broker.Demand,
		Ejected:   d.broker.Ejected,
		Logger:    logger,
	})
	d.loop = control.New(control.Options{
		Identity: record.Join{
			Instance:   s.Instance,
			DataCentre: s.DataCentre,
			Rack:       s.Rack,
			PeerAddr:   s.Peers.Advertise,
			OpsAddr:    s.Operations.Advertise,
		},
		Log:             ports.Log,
		Tick:            s.Timeouts.Tick.D(),
		Heartbeat:       s.Timeouts.Heartbeat.D(),
		Participants:    []control.Participant{account, d.broker, reclaimer, remover, d.handover},
		Controllers:     []control.Controller{reclaimer, inventory.New(d.watcher.Newest), remover},
		Sources:         []control.Source{d.burn, planSource},
		ControlInterval: controlInterval,
		Peers:           d.client,
		ListedPeers:     d.listedPeers,
		Logger:          logger,
	})
	d.handler = entry.New(entry.Options{
		View:           d.loop.View,
		Server:         d.broker,
		Claims:         d.claims,
		Ready:          d.checkAdmission,
		DefaultTimeout: s.Timeouts.Request.D(),
		BodyRead:       s.Timeouts.BodyRead.D(),
		Logger:         logger,
		Observe:        d.burn.Observe,
	})
	d.peers = peer.NewServer()
	d.forwarded = traffic.NewForwardServer(d.broker)
	d.loadExchange = loadsync.New(d.loop.View, d.client, d.broker)
	return d, d.registerEndpoints()
}

// registerEndpoints registers the RPC endpoints of the peer port.
func (d *Daemon) registerEndpoints() error {
	endpoints := map[string]any{
		peer.TaskEndpoint:   peer.NewTask(d.forwarded),
		peer.LoadEndpoint:   peer.NewLoad(d.loadExchange),
		peer.ClaimEndpoint:  peer.NewClaim(d.claims),
		peer.RecordEndpoint: peer.NewRecord(d.loop),
	}
	for name, endpoint := range endpoints {
		if err := d.peers.Register(name, endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Run serves until ctx ends or a listener fails, then stops gracefully (see
// shutdown). It returns the listener's error.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer d.metricsCloser.Close()
	defer d.client.Close()

	requestCtx, cancelRequests := context.WithCancel(background)
	defer cancelRequests()
	callers := &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
	}
	operators := &http.Server{
		Handler: operations.New(operations.Options{
			Ready:         d.checkReady,
			Status:        d.status,
			Revision:      d.revision,
			Configuration: d.configuration,
			Burn:          d.burn.Status,
			Metrics:       d.metricsPage,
		}),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	serveErrors := make(chan error, 4)
	go func() { serveErrors <- errors.Wrap(callers.Serve(d.ports.Callers), "callers") }()
	go func() { serveErrors <- errors.Wrap(operators.Serve(d.ports.Operations), "operations") }()
	go func() { serveErrors <- errors.Wrap(d.peers.Serve(d.ports.Peers), "peers") }()
	go func() { serveErrors <- errors.Wrap(d.loop.Run(background), "control") }()
	go d.watcher.Run(background)
	go d.usage.Run(background)
	go d.runMetrics(background, d.metrics)
	go d.loadExchange.Run(background)
	go d.handover.Run(background)

	var failure error
	select {
	case failure = <-serveErrors:
	case <-ctx.Done():
	}
	d.shutdown(callers, cancelRequests)
	d.ports.Peers.Close()
	d.peers.Close()
	if err := operators.Close(); failure == nil {
		failure = errors.Wrap(err, "operations")
	}
	return failure
}

// checkReady returns why the load balancer should send no requests here, or nil.
func (d *Daemon) checkReady() error {
	select {
	case <-d.stopping:
		return errors.New("stopping")
	default:
		return d.checkAdmission()
	}
}

// checkAdmission returns why the daemon must refuse requests, or nil. A stopping
// daemon still admits requests.
func (d *Daemon) checkAdmission() error {
	if d.loop.Contact().IsZero() {
		return errors.New("the log has not been read up to its head")
	}
	if d.loop.View().Revision == 0 {
		return errors.New("no configuration is active")
	}
	if _, ok := d.mayStart(); !ok {
		return errors.New("no contact with the log or with a quorum of the members")
	}
	return nil
}

// listedPeers returns the peer addresses of the daemons that the directory lists.
func (d *Daemon) listedPeers() []string {
	var addrs []string
	for _, i := range d.watcher.Newest().Instances {
		if i.Role == platform.RoleEntry {
			addrs = append(addrs, i.Addr)
		}
	}
	return addrs
}

// mayStart returns the time until which this daemon may start work, and whether it
// may now. While the log is down for most of the members, no member can be
// reclaimed, and quorum contact replaces the record that none can append.
func (d *Daemon) mayStart() (time.Time, bool) {
	return memberlease.Proof{
		Contact:      d.loop.Contact(),
		ContactLease: contactLease,
		LastRecord:   later(d.loop.LastConfirmed(), d.loop.QuorumContact()),
	}.Until(time.Now())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// status returns the status that the operations port serves.
func (d *Daemon) status() status.Status {
	s := status.FromView(d.loop.View(), d.loop.LogContact(), time.Now())
	s.Instance = d.settings.Instance
	s.DataCentre = d.settings.DataCentre
	s.Control = d.controlBytes()
	for i := range s.Teams {
		s.Teams[i].Running, s.Teams[i].Waiting = d.account.Use(s.Teams[i].Name)
	}
	s.Ready = true
	if err := d.checkReady(); err != nil {
		s.Ready = false
		s.NotReady = err.Error()
	}
	return s
}

func (d *Daemon) revision() status.Revision {
	v := d.loop.View()
	return status.Revision{Revision: v.Revision, Digest: v.Digest}
}

func (d *Daemon) configuration() status.Configuration {
	v := d.loop.View()
	return status.Configuration{Revision: v.Revision, Digest: v.Digest, Document: v.Document}
}

// controlBytes returns the bytes of the control connections by kind, or nil
// without Meters.
func (d *Daemon) controlBytes() map[string]status.Bytes {
	m := d.ports.Meters
	if m == nil {
		return nil
	}
	return map[string]status.Bytes{
		"log":       {In: m.Log.In(), Out: m.Log.Out()},
		"directory": {In: m.Directory.In(), Out: m.Directory.Out()},
		"peers":     {In: m.Peers.In(), Out: m.Peers.Out()},
	}
}
