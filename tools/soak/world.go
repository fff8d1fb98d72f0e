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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	daemons   = 4
	instances = 6
	units     = 4
	queueHost = "soak.example"
	queuePath = "/jobs/"
)

// configuration has one pool, one open queue, and no spare pool.
const configuration = `{"version":1,"routes":[{"name":"q","host":"` + queueHost + `","path_prefix":"` + queuePath + `","service":"p","max_attempts":4,"stretch":2,"target_latency_ms":1000,"public":true}],
"services":[{"name":"p"}],"limits":{"max_body_bytes":65536}}`

// world is one run's processes and stand-ins.
type world struct {
	seed      uint64
	dir       string
	binary    string
	judge     *judge
	store     *memstore.Store
	daemons   []*process
	instances []*instance
	// links holds the proxies in front of the instances.
	links []*proxy
	stop  context.CancelFunc
}

// process is one daemon, with its own way to the store.
type process struct {
	name     string
	settings string
	callers  string
	log      *memstore.Client
	link     *proxy
	cmd      *exec.Cmd
	logs     *os.File
	// mu lets one fault at a time start the process anew.
	mu sync.Mutex
}

func newWorld(seed uint64, dir, binary string, takes time.Duration) (*world, error) {
	w := &world{seed: seed, dir: dir, binary: binary, judge: newJudge(), store: memstore.New(units)}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.write("keyed.op", "config", []byte(configuration))
	for n := range instances {
		if err := w.addInstance(n, takes); err != nil {
			return nil, err
		}
	}
	go w.keepTime(ctx)
	for n := range daemons {
		if err := w.addDaemon(n); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) write(topic, key string, value []byte) {
	err := w.store.Client().Append(context.Background(), topic, 0, []store.Record{{Key: key, Value: value}}, nil)
	if err != nil {
		panic(err) // a client without faults can't fail
	}
}

// serveLocal serves a handler on the loopback and returns its address.
func serveLocal(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() { _ = http.Serve(l, h) }() // ends with the program
	return l.Addr().String(), nil
}

func (w *world) addInstance(n int, takes time.Duration) error {
	i := newInstance(w.judge, fmt.Sprintf("i-%d", n), takes)
	address, err := serveLocal(i.handler())
	if err != nil {
		return err
	}
	link, err := newProxy(address)
	if err != nil {
		return err
	}
	w.instances, w.links = append(w.instances, i), append(w.links, link)
	entry, err := json.Marshal(map[string]any{
		"service": "p", "address": link.addr(), "zone": "z", "state": "ready", "labels": []string{"a", "r"},
		"capacity": map[string]int{"cpu": instanceCPU, "mem_mb": 8000}, "born": i.born.UnixMilli(),
	})
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	w.write("keyed.servers", i.id, entry)
	return nil
}

// keepTime ends runs and leases at instances that nobody calls.
func (w *world) keepTime(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range w.instances {
			i.mu.Lock()
			i.advance()
			i.mu.Unlock()
		}
		time.Sleep(waitStep)
	}
}

// firstPort is where each daemon's ports begin, at a loopback address of its
// own: a port that is free while a daemon is down could go to another run.
const firstPort = 7000

func (w *world) addresses(n int, ports ...string) map[string]string {
	listen := map[string]string{}
	for i, port := range ports {
		listen[port] = fmt.Sprintf("127.%d.%d.%d:%d", 1+w.seed/200%200, 1+w.seed%200, n+1, firstPort+i)
	}
	return listen
}

func (w *world) addDaemon(n int) error {
	p := &process{name: fmt.Sprintf("d-%d", n), log: w.store.Client()}
	address, err := serveLocal((&storeServer{log: p.log}).handler())
	if err != nil {
		return err
	}
	if p.link, err = newProxy(address); err != nil {
		return err
	}
	listen := w.addresses(n, "callers", "readiness", "peers", "operations", "machines")
	p.callers = listen["callers"]
	data, err := json.Marshal(map[string]any{
		"instance": p.name, "data_centre": "z", "callers": listen["callers"], "readiness": listen["readiness"], "peers": listen["peers"],
		"operations": listen["operations"], "store": p.link.addr(), "machines": listen["machines"], "units": units,
		"processor_share": 1, "duties_per_second": 64, "memory_mb": 256, "bounds": map[string]any{"max_lease_ms": maxLeaseMS, "grace_s": 6, "status_kept_s": 120, "duty_lease_ms": 3000, "cancel_ms": 3000, "drain_ms": 2000, "evacuate_ms": 5000},
		"log": map[string]string{"level": "info"},
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	p.settings = filepath.Join(w.dir, p.name+".json")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	if p.logs, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "log")
	}
	w.daemons = append(w.daemons, p)
	return p.start(w.binary)
}

func (p *process) start(binary string) error {
	p.cmd = exec.Command(binary, "fleet", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	return errors.Wrap(p.cmd.Start(), p.name)
}

// signal sends a signal to the process that this run started.
func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, p.name, err)
	}
}

// restart waits for the process to end and starts it again.
func (p *process) restart(binary string) error {
	_ = p.cmd.Wait() // how it ended was this run's doing
	return p.start(binary)
}

// end ends all processes that this run started, by their ids.
func (w *world) end() {
	for _, p := range w.daemons {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		_ = p.logs.Close()
	}
	w.stop()
}
