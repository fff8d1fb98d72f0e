package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	daemonCount   = 4
	instanceCount = 6
	unitCount     = 4
	queueHost     = "soak.example"
	queuePath     = "/jobs/"
)

// configuration has one pool, one open queue, and no spare pool.
const configuration = `{"version":1,"routes":[{"name":"q","host":"` + queueHost + `","path_prefix":"` + queuePath + `","service":"p","max_attempts":4,"stretch":2,"target_latency_ms":1000,"public":true}],
"services":[{"name":"p"}],"limits":{"max_body_bytes":65536}}`

// harness holds one seed's daemon processes and the simulated store and instances.
type harness struct {
	seed      uint64
	dir       string
	binary    string
	checker   *checker
	store     *memstore.Store
	daemons   []*process
	instances []*instance
	// instanceProxies holds the proxy in front of each instance.
	instanceProxies []*proxy
	cancel          context.CancelFunc
}

// process is one daemon, with its own client of the store and a proxy in front of
// it.
type process struct {
	name           string
	settingsFile   string
	callersAddress string
	storeClient    *memstore.Client
	storeProxy     *proxy
	// cmd is the newest start that succeeded; nil before the first. Faults read it
	// while another one restarts the process.
	cmd     atomic.Pointer[exec.Cmd]
	logFile *os.File
	// mu lets only one fault at a time restart the process.
	mu sync.Mutex
}

func newHarness(seed uint64, dir, binary string, runTime time.Duration) (*harness, error) {
	h := &harness{seed: seed, dir: dir, binary: binary, checker: newChecker(), store: memstore.New(unitCount)}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.appendRecord("keyed.op", "config", []byte(configuration))
	for n := range instanceCount {
		if err := h.addInstance(n, runTime); err != nil {
			return nil, err
		}
	}
	go h.advanceInstances(ctx)
	for n := range daemonCount {
		if err := h.addDaemon(n); err != nil {
			return nil, err
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
// returns its address.
func serveLocal(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() { _ = http.Serve(l, h) }() // ends with the program
	return l.Addr().String(), nil
}

// addInstance starts an instance with a proxy and lists it in the store.
func (h *harness) addInstance(n int, runTime time.Duration) error {
	i := newInstance(h.checker, fmt.Sprintf("i-%d", n), runTime)
	address, err := serveLocal(i.handler())
	if err != nil {
		return err
	}
	instanceProxy, err := newProxy(address)
	if err != nil {
		return err
	}
	h.instances, h.instanceProxies = append(h.instances, i), append(h.instanceProxies, instanceProxy)
	entry, err := json.Marshal(map[string]any{
		"service": "p", "address": instanceProxy.addr(), "zone": "z", "state": "ready", "labels": []string{"a", "r"},
		"capacity": map[string]int{"cpu": instanceCPU, "mem_mb": 8000}, "born": i.startedAt.UnixMilli(),
	})
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	h.appendRecord("keyed.servers", i.id, entry)
	return nil
}

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

// firstPort is the first port of each daemon. Each daemon of each seed has a
// loopback address of its own: a port that is free while its daemon is down could
// be taken by another seed's daemon.
const firstPort = 7000

func (h *harness) listenAddresses(n int, ports ...string) map[string]string {
	listen := map[string]string{}
	for i, port := range ports {
		listen[port] = fmt.Sprintf("127.%d.%d.%d:%d", 1+h.seed/200%200, 1+h.seed%200, n+1, firstPort+i)
	}
	return listen
}

// addDaemon writes a daemon's settings and starts it with its own link to the
// store.
func (h *harness) addDaemon(n int) error {
	p := &process{name: fmt.Sprintf("d-%d", n), storeClient: h.store.Client()}
	address, err := serveLocal((&storeServer{client: p.storeClient}).handler())
	if err != nil {
		return err
	}
	if p.storeProxy, err = newProxy(address); err != nil {
		return err
	}
	listen := h.listenAddresses(n, "callers", "readiness", "peers", "operations", "machines")
	p.callersAddress = listen["callers"]
	data, err := json.Marshal(map[string]any{
		"instance": p.name, "data_centre": "z", "callers": listen["callers"], "readiness": listen["readiness"], "peers": listen["peers"],
		"operations": listen["operations"], "store": p.storeProxy.addr(), "machines": listen["machines"], "units": unitCount,
		"processor_share": 1, "duties_per_second": 64, "memory_mb": 256, "bounds": map[string]any{"max_lease_ms": maxLeaseMS, "grace_s": 6, "status_kept_s": 120, "duty_lease_ms": 3000, "cancel_ms": 3000, "drain_ms": 2000, "evacuate_ms": 5000},
		"log": map[string]string{"level": "info"},
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	p.settingsFile = filepath.Join(h.dir, p.name+".json")
	if err := os.WriteFile(p.settingsFile, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if p.logFile, err = os.Create(filepath.Join(h.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "log")
	}
	h.daemons = append(h.daemons, p)
	return p.start(h.binary)
}

func (p *process) start(binary string) error {
	cmd := exec.Command(binary, "fleet", "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.cmd.Store(cmd)
	return nil
}

// signal sends a signal to the process, unless it hasn't started or has ended.
func (p *process) signal(s syscall.Signal) {
	cmd := p.cmd.Load()
	if cmd == nil {
		return
	}
	if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, p.name, err)
	}
}

// wait waits for the process to end.
func (p *process) wait() {
	if cmd := p.cmd.Load(); cmd != nil {
		_ = cmd.Wait() // it ended by a fault
	}
}

// restart waits for the process to end and starts it again.
func (p *process) restart(binary string) error {
	p.wait()
	return p.start(binary)
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
}
