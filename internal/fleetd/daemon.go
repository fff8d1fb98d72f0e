package fleetd

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/beryltide/beryltide/internal/bodybudget"
	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/intake"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/maintenance"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/queueunits"
	"github.com/beryltide/beryltide/internal/registry"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/internal/unitmap"
)

const (
	// memoryShare is the share of the process's memory that is the garbage
	// collector's soft limit. The kernel's buffers of callers' connections take
	// connectionShare, the program itself the rest.
	memoryShare = 0.65
	// configurationWait is how long a read waits for a change of the
	// configuration: half of the shortest bound for a change to become active.
	configurationWait = time.Second
	// registryReadInterval is the pause between two reads of the registry, which
	// changes all the time: a quarter of the shortest bound for a draining instance.
	registryReadInterval = 400 * time.Millisecond
	// maxReadyAge is the age of the configuration above which the daemon isn't
	// ready: two reads with their timeouts.
	maxReadyAge = 3 * time.Second
	// drainDelay is how long a stopping daemon still accepts requests: the balancer
	// checks readiness once a second and acts on the second failure.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period the last requests
	// are cut off.
	stopMargin = time.Second
	// ageInterval is the interval at which the age gauges are updated.
	ageInterval = time.Second
	// fleetUnitCheckInterval is how often the owner of a unit checks whether it is
	// the fleet's unit.
	fleetUnitCheckInterval = 100 * time.Millisecond
	// orderRateShare is the share of the platform's rate limit for orders to
	// machines that a holder uses; the rest covers a former holder's last orders
	// that overlap with its successor's first.
	orderRateShare = 0.9
	// orderBurst is the number of orders that may be sent at once.
	orderBurst = 8
	// Limits of HTTP connections. The configuration's limits aren't applied to them.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// Ports are the clients, decoders and listeners through which the daemon reaches
// the platform and its own machine.
type Ports struct {
	Log       *store.Watched
	Instances instance.Client
	// MixedConnections returns the number of connections on which two incarnations of an
	// instance have answered; nil if the client doesn't count them.
	MixedConnections func() int64
	Advisor          owner.Advisor
	Decoders         fleetview.Decoders
	// OperatorTopic is written by operators, RegistryTopic by instances, and
	// StatusTopic by the holder of the fleet's unit for operators.
	OperatorTopic string
	RegistryTopic string
	StatusTopic   string
	// WaveStatus encodes a wave's status as a record of StatusTopic.
	WaveStatus func(wave int64, completed bool) (key string, value []byte)
	// Machines is nil in a deployment without a machine service.
	Machines machine.Client
	// Callers returns the HTTP handler of callers' requests.
	Callers func(*intake.Service, *fleetview.View, *bodybudget.Budget) http.Handler
	Clock   bootclock.Clock
	Metrics tally.Scope
	// MetricsPage serves the metrics to operators.
	MetricsPage http.Handler

	CallersListener, ReadinessListener, PeersListener, OperationsListener net.Listener
}

// Daemon is the daemon of one process. Run may be called once.
type Daemon struct {
	settings Settings
	ports    Ports
	logger   *zap.Logger
	view     *fleetview.View
	// log is the store's log, reached directly or through a peer.
	log      *store.Relayed
	relay    *relay
	member   *ownership.Member
	peers    *ownerrpc.Client
	pools    *unitmap.Map
	units    *units
	owners   *poolOwners
	service  *intake.Service
	outage   *outage
	limits   *callerLimits
	stopping chan struct{}
}

// New returns a daemon, which Run starts. It sets the process's memory limit.
func New(s Settings, ports Ports, logger *zap.Logger) *Daemon {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	view := fleetview.New(ports.Decoders, ports.Clock, logger)
	peers := ownerrpc.NewClient()
	alive := func(ctx context.Context, address string) bool {
		_, err := peers.Away(ctx, address)
		return err == nil
	}
	d := &Daemon{settings: s, ports: ports, logger: logger, view: view, peers: peers, stopping: make(chan struct{})}
	d.relay = &relay{ctx: context.Background(), candidates: d.relayCandidates, peers: peers, logger: logger}
	d.log = store.Relay(ports.Log, d.relay.log)
	d.member = ownership.New(d.log, ports.PeersListener.Addr().String(), newIncarnation(), s.ProcessorShare, alive, ports.Clock, logger)
	d.pools = unitmap.New(d.log, s.Units, logger)
	d.member.InUse = d.pools.InUse
	return d
}

// newIncarnation draws a name that distinguishes this process from former ones at its
// address.
func newIncarnation() string { return strconv.FormatUint(rand.Uint64(), 36) }

// relayCandidates returns the addresses of the daemons that may relay calls to the
// store.
func (d *Daemon) relayCandidates() []string { return d.member.Peers() }

// Run serves until the context ends or a listener fails, then stops gracefully. It
// returns the listener's error.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	var err error
	if d.limits, err = newCallerLimits(d.settings, &d.ports, d.logger); err != nil {
		return err
	}
	unitOf := d.pools.Of
	d.owners = &poolOwners{peers: d.peers, member: d.member, unitOf: unitOf}
	d.units = newUnits(workCtx, d.deps(unitOf), d.fleetController())
	d.owners.units = d.units
	d.service = &intake.Service{
		Log: d.log, Units: d.units, Peers: d.peers, Member: d.member, UnitOf: unitOf, Limits: d.settings.storeLimits(), Logger: d.logger,
		OnNoCapacity: func(queue string) {
			d.ports.Metrics.Tagged(map[string]string{"queue": queue}).Counter("jobs_refused_for_capacity").Inc(1)
		},
	}
	d.outage = &outage{log: d.ports.Log, member: d.member, peers: d.peers, logger: d.logger}
	go d.outage.run(workCtx)
	go d.operatorFollower().Run(workCtx)
	go d.registryFollower().Run(workCtx)
	go d.pools.Run(workCtx, d.poolNames)
	go d.reportAges(workCtx)
	memberCtx, cancelMember := context.WithCancel(workCtx)
	defer cancelMember()
	go d.member.Run(memberCtx, d.units.set)
	serveErrors := make(chan error, 4)
	go func() {
		services := ownerrpc.Services{Units: d.units, Log: d.log, Appender: d.service, MembersChanged: d.member.JoinSoon}
		serveErrors <- ownerrpc.Serve(d.ports.PeersListener, services, d.logger)
	}()
	callers := newCallerServer(d.ports.Callers(d.service, d.view, d.limits.bodies), d.ports.CallersListener, d.requestLimits)
	go func() { serveErrors <- callers.serve() }()
	go func() { serveErrors <- serve(d.server(http.HandlerFunc(d.ready)), d.ports.ReadinessListener) }()
	go func() { serveErrors <- serve(d.server(d.operations()), d.ports.OperationsListener) }()
	d.logger.Info("daemon.started", zap.String("instance", d.settings.Instance), zap.String("member", d.member.Name()))
	var failure error
	select {
	case failure = <-serveErrors:
	case <-ctx.Done():
	}
	cancelMember()
	if err := d.stop(callers); failure == nil {
		failure = err
	}
	return failure
}

func (d *Daemon) deps(unitOf func(string) int) owner.Deps {
	b := d.settings.Bounds
	return owner.Deps{
		Log: d.log, Instances: d.ports.Instances, Advisor: d.ports.Advisor, Peers: d.owners, View: d.view, Clock: d.ports.Clock,
		QueueUnits: queueunits.New(d.log, d.ports.Clock),
		Limits:     d.settings.storeLimits(),
		Bounds: owner.Bounds{
			MaxLease: millis(b.MaxLeaseMS), StatusKept: seconds(b.StatusKeptS), StopTimeout: millis(b.StopTimeoutMS),
			Move:   seconds(b.MoveS) + registryReadInterval,
			Cancel: millis(b.CancelMS), Drain: millis(b.DrainMS), Evacuate: millis(b.EvacuateMS),
		},
		Logger: d.logger, Meter: owner.NewMeter(d.ports.Metrics), UnitOf: unitOf, Jobs: d.limits.jobs, InUse: d.pools.InUse,
		Holds:  d.member.Holds,
		Sole:   func(t ownership.Tenure) bool { return d.member.HoldsWithin(t, ownership.SoleGrace) },
		GiveUp: d.member.Discard,
	}
}

// fleetController returns a function that runs the maintenance controller for a
// tenure of the fleet's unit until the context ends. For a tenure of another unit
// it only waits, in case that unit becomes the fleet's.
func (d *Daemon) fleetController() func(context.Context, ownership.Tenure) {
	rounds := d.ports.Metrics.Histogram("fleet_round_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13))
	return func(ctx context.Context, t ownership.Tenure) {
		for d.pools.Of(unitmap.Fleet) != t.Unit {
			select {
			case <-ctx.Done():
				return
			case <-time.After(fleetUnitCheckInterval):
			}
		}
		c := &maintenance.Controller{
			Log: d.log, Machines: d.ports.Machines, Owners: d.owners, View: d.view, Clock: d.ports.Clock,
			Logger: d.logger, Tenure: t, Holds: d.member.HoldsWithin, GiveUp: d.giveUp, Name: d.settings.Instance,
			OrderLimiter: rate.NewLimiter(rate.Limit(orderRateShare*d.settings.DutiesPerSecond), orderBurst),
			Handover:     maintenance.OrderGrace + millis(d.settings.Bounds.DutyLeaseMS),
			Duration:     seconds(d.settings.Bounds.MaintenanceS),
			RoundTook:    rounds.RecordDuration,
			StatusTopic:  d.ports.StatusTopic, Status: d.ports.WaveStatus,
		}
		c.Run(ctx)
	}
}

// giveUp ends a tenure that a later one has superseded, and asks the store for a new one
// in case the unit is still assigned to this daemon.
func (d *Daemon) giveUp(t ownership.Tenure) {
	d.member.Discard(t)
	d.units.stop(t)
	d.member.JoinSoon()
}

// reportAges updates the gauges of the age and version of the configuration and
// the age of the registry, and applies the limits of callers that depend on time, until
// the context ends.
func (d *Daemon) reportAges(ctx context.Context) {
	ticker := time.NewTicker(ageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.limits.sweep(time.Now())
			d.ports.Metrics.Gauge("configuration_age_seconds").Update(d.view.ConfigurationAge().Seconds())
			d.ports.Metrics.Gauge("registry_age_seconds").Update(d.view.RegistryAge().Seconds())
			if mixed := d.ports.MixedConnections; mixed != nil {
				d.ports.Metrics.Gauge("mixed_connections").Update(float64(mixed()))
			}
			for pool, age := range d.service.OutlookAges() {
				d.ports.Metrics.Tagged(map[string]string{"pool": pool}).Gauge("outlook_age_seconds").Update(age.Seconds())
			}
			if c := d.view.Catalog(); c != nil {
				d.ports.Metrics.Gauge("configuration_version").Update(float64(c.Version))
			}
		}
	}
}

// poolNames returns the names of the pools in the active configuration, sorted.
func (d *Daemon) poolNames() []string {
	c := d.view.Catalog()
	if c == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(c.Pools))
}

func (d *Daemon) operatorFollower() *registry.Follower {
	return &registry.Follower{
		Log: d.log, Topic: d.ports.OperatorTopic, Logger: d.logger, Wait: configurationWait,
		Reset: d.view.ResetOperator, Apply: d.view.ApplyOperator, Confirmed: d.view.ConfirmConfiguration,
	}
}

// registryFollower returns a follower of the instances' entries that reads only
// while this daemon owns a unit in use. The entries change all the time: if
// every daemon read them, the load on the store would grow with the product of
// daemons and instances.
func (d *Daemon) registryFollower() *registry.Follower {
	return &registry.Follower{
		Log: d.log, Topic: d.ports.RegistryTopic, Logger: d.logger, Pause: registryReadInterval, Needed: d.units.anyInUse,
		Reset: d.view.ResetRegistry, Apply: d.view.ApplyRegistry, Confirmed: d.view.ConfirmRegistry,
	}
}

// requestLimits returns the limits of the active configuration.
func (d *Daemon) requestLimits() catalog.Limits {
	if c := d.view.Catalog(); c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ReadTimeout: headerTimeout, ConnState: trackState}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, l.Addr().String())
	}
	return nil
}

// ready answers the balancer's readiness check: 200 if the daemon isn't stopping,
// has a configuration and the unit of each pool, 503 otherwise. An old
// configuration counts as a failure only if the outage of the store isn't shared:
// in a shared outage the callers would find no other daemon.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-d.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	stale := d.view.ConfigurationAge() > maxReadyAge && !d.outage.shared.Load()
	if d.view.Catalog() == nil || !d.pools.Complete(d.poolNames()) || stale {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notifyOwners tells the other owners that this daemon has left them, so that they
// learn at once which of its units are theirs now. It doesn't wait for their answers.
func (d *Daemon) notifyOwners(ctx context.Context) {
	for _, address := range d.member.Peers() {
		go func() {
			if err := d.peers.Left(ctx, address); err != nil {
				d.logger.Info("peer.not_notified", zap.String("peer", address), zap.Error(err))
			}
		}()
	}
}

// stop gives up the units at once, keeps serving while the balancer still sends
// requests, and lets running requests finish within the grace period.
func (d *Daemon) stop(callers *callerServer) error {
	d.logger.Info("daemon.stopping", zap.String("instance", d.settings.Instance))
	close(d.stopping)
	d.units.set(nil)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Bounds.Grace()-stopMargin)
	defer cancel()
	if err := d.member.Leave(ctx); err != nil {
		d.logger.Warn("ownership.leave_failed", zap.Error(err))
	}
	d.notifyOwners(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(drainDelay):
	}
	err := callers.shutdown(ctx)
	d.logger.Info("daemon.stopped", zap.Duration("took", time.Since(begin)), zap.Error(err))
	return errors.Wrap(err, "shutdown")
}
