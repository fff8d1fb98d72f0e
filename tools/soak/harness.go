package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/fleetd"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/tools/internal/storeserver"
)

const (
	daemonCount   = 4
	instanceCount = 8
	unitCount     = 6
	recordBytes   = 262_144
	callBytes     = 2_097_152
)

// dataCentres are those of daemons and instances.
var dataCentres = []string{"z0", "z1", "z2"}

// harness holds one seed's daemon processes and the simulated store and instances.
type harness struct {
	seed      uint64
	dir       string
	binary    string
	addresses *addressBlock
	checker   *checker
	operator  *operator
	store     *memstore.Store
	// storeSilent leaves the daemons' calls to the store without an answer.
	storeSilent bool
	daemons     []*process
	instances   []*instance
	// instanceProxies holds the proxy in front of each instance.
	instanceProxies []*proxy
	// longCallers submit the jobs of restartsInSeries.
	longCallersMu sync.Mutex
	longCallers   []*caller
	cancel        context.CancelFunc
}

// newHarness starts a seed's instances and daemons. It calls prepare, if not nil, before
// the daemons start.
func newHarness(seed uint64, dir, binary string, runTime time.Duration, prepare func(*harness)) (*harness, error) {
	addresses, err := claimBlock()
	if err != nil {
		return nil, err
	}
	h := &harness{seed: seed, dir: dir, binary: binary, addresses: addresses, checker: newChecker(), store: memstore.New(unitCount)}
	h.store.Limits = store.Limits{Record: recordBytes, Append: callBytes}
	h.operator = newOperator(h)
	h.checker.sentTo, h.checker.movedSince = h.operator.sentTo, h.operator.movedSince
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.operator.apply(func() {})
	all := &gangs{runs: map[gangRun]*gangState{}, firstFailed: h.onGangFailure}
	for n := range instanceCount {
		if err := h.addInstance(n, all, runTime); err != nil {
			return h, err
		}
	}
	go h.advanceInstances(ctx)
	if prepare != nil {
		prepare(h)
	}
	for n := range daemonCount {
		if err := h.addDaemon(n); err != nil {
			return h, err
		}
	}
	return h, nil
}

// appendRecord appends one record to the store.
func (h *harness) appendRecord(topic, key string, value []byte) {
	err := h.store.Client().Append(context.Background(), topic, 0, []store.Record{{Key: key, Value: value}}, nil)
	if err != nil {
		panic(err) // a client without faults can't fail
	}
}

// serveLocal serves a handler at a free loopback port until the program ends, and
// returns its address. connContext, if not nil, sets the context of each connection.
func serveLocal(h http.Handler, connContext func(context.Context, net.Conn) context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ConnContext: connContext}
	go func() { _ = s.Serve(l) }() // ends with the program
	return l.Addr().String(), nil
}

// addInstance starts an instance with a proxy and lists it in the store.
func (h *harness) addInstance(n int, all *gangs, runTime time.Duration) error {
	i := &instance{checker: h.checker, gangs: all, id: fmt.Sprintf("i-%d", n), pool: []string{firstPool, secondPool}[n%2], dataCentre: dataCentres[n/2%len(dataCentres)], runTime: runTime}
	i.restart(n / 2 % len(kindCPUs))
	address, err := serveLocal(i.handler(), i.connContext)
	if err != nil {
		return err
	}
	instanceProxy, err := newProxy(address)
	if err != nil {
		return err
	}
	i.address = instanceProxy.addr()
	h.instances, h.instanceProxies = append(h.instances, i), append(h.instanceProxies, instanceProxy)
	h.list(i)
	return nil
}

// list writes an instance's entry.
func (h *harness) list(i *instance) { h.appendRecord("keyed.servers", i.id, i.entry()) }

// advanceInstances ends runs and expires leases on time at instances that get no
// calls.
func (h *harness) advanceInstances(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range h.instances {
			i.mu.Lock()
			i.endDueRuns()
			i.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

// settings returns a daemon's settings.
func (h *harness) settings(n int, storeAddress string) fleetd.Settings {
	listen := h.addresses.daemon(n)
	return fleetd.Settings{
		Instance: fmt.Sprintf("d-%d", n), DataCentre: dataCentres[n%len(dataCentres)], Callers: listen["callers"], Readiness: listen["readiness"],
		Peers: listen["peers"], Operations: listen["operations"], Store: storeAddress, Machines: listen["machines"],
		Units: unitCount, MemoryMB: 256, ProcessorShare: 1, DutiesPerSecond: 64, ListsPerSecond: 64,
		RecordBytes: recordBytes, CallBytes: callBytes,
		Bounds: fleetd.BoundSettings{
			MaxLeaseMS: maxLeaseMS, StopTimeoutMS: 200, StatusKeptS: 120, GraceS: 6, MoveS: 1.5, MaintenanceS: 2,
			DutyLeaseMS: 3000, CancelMS: 3000, DrainMS: 2000, EvacuateMS: 5000,
		},
		Log: fleetd.LogSettings{Level: "info"},
	}
}

// writeSettings writes a daemon's settings, as checked by the daemon's own validation.
func writeSettings(file string, s fleetd.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if _, err := fleetd.ParseSettings(file, data); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, data, 0o600), "settings")
}

// addDaemon writes a daemon's settings and starts it with its own link to the
// store.
func (h *harness) addDaemon(n int) error {
	p := &process{checker: h.checker, storeClient: h.store.Client()}
	address, err := serveLocal((&storeserver.Server{Client: p.storeClient, Silent: h.storeSilent}).Handler(), nil)
	if err != nil {
		return err
	}
	if p.storeProxy, err = newProxy(address); err != nil {
		return err
	}
	s := h.settings(n, p.storeProxy.addr())
	p.name, p.callersAddress, p.peersAddress = s.Instance, s.Callers, s.Peers
	p.settingsFile = filepath.Join(h.dir, p.name+".json")
	if err := writeSettings(p.settingsFile, s); err != nil {
		return err
	}
	if p.logFile, err = os.Create(filepath.Join(h.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "log")
	}
	h.daemons = append(h.daemons, p)
	return p.start(h.binary)
}

func (h *harness) eachDaemon(do func(*process)) {
	for _, d := range h.daemons {
		do(d)
	}
}

// restartDaemon ends a daemon, if it still runs, and starts it again. Concurrent
// faults restart it one after the other.
func (h *harness) restartDaemon(d *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGTERM)
	if err := d.restart(h.binary); err != nil {
		h.checker.report("%s", err)
	}
}

// shutDown kills all processes of the harness, by their ids.
func (h *harness) shutDown() {
	for _, p := range h.daemons {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
		_ = p.logFile.Close()
	}
	h.cancel()
	h.addresses.release()
}
