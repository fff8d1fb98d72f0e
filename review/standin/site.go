package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is a small deployment: daemons of the project as processes of their own, and
// stand-ins of all that they talk to in this process.
type Site struct {
	Root    string
	Store   *Store
	Ledger  *Ledger
	Record  *Record
	Servers []*Server
	Daemons []*Daemon
	// Machines is the platform's machine service.
	Machines *Machines
	// Cap is the upper limit of the site's team; 0 is none.
	Cap Resources
	// Advisor is the address of the advice service.
	Advisor string

	dir     string
	storeAt string
	cloudAt string
	version int
	client  *http.Client
}

// Daemon is a process of the project.
type Daemon struct {
	Name, Callers, Ready string
	// Store and Cloud are the links to the store and to the machine service.
	Store, Cloud *Link

	settings string
	site     *Site
	process  *os.Process
}

// NewSite returns a site without servers and daemons. The repository's root is the
// working directory's, the record is written to the case's folder.
func NewSite(folder string) (*Site, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "beryltided")); err != nil {
		return nil, err
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{Root: root, Record: record, dir: dir, Store: NewStore(record), client: &http.Client{Timeout: 4 * time.Second}, Advisor: FreeAddress()}
	s.Ledger = &Ledger{Record: record}
	s.Machines = &Machines{site: s}
	if s.storeAt, err = serve(s.Store); err != nil {
		return nil, err
	}
	s.cloudAt, err = serve(s.Machines)
	return s, err
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", FreeAddress())
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func init() {
	// The processes get a signal when the thread that started them ends, and this is
	// the program's first thread, which lasts as long as the program.
	runtime.LockOSThread()
}

// host is the loopback address of this program, so that two scripts that run at the
// same time don't take each other's free ports.
var host = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>14&0x7f, os.Getpid()>>7&0x7f, 1+os.Getpid()&0x7f)

var (
	handedOutMu sync.Mutex
	handedOut   = map[string]bool{}
)

// FreeAddress returns an address with a port that is free and wasn't returned before.
func FreeAddress() string {
	handedOutMu.Lock()
	defer handedOutMu.Unlock()
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !handedOut[address] {
			handedOut[address] = true
			return address
		}
	}
}

// AddServer registers and starts a server behind a proxy, which it returns.
func (s *Site) AddServer(server *Server) (*Proxy, error) {
	server.Store, server.Ledger = s.Store, s.Ledger
	server.Listen = FreeAddress()
	proxy, err := NewProxy(server.Listen)
	if err != nil {
		return nil, err
	}
	server.Address = proxy.Address
	s.Servers = append(s.Servers, server)
	s.Machines.machines = append(s.Machines.machines, &Machine{Name: server.Machine, Pool: server.Service, State: "up", Server: server})
	return proxy, server.Start()
}

// Route is a queue of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	MaxAttempts                 int
}

// Key is the key of the site's only team.
const Key = "sjnbanfqasnmgkcuyj8p"

// Configure writes a version of the configuration.
func (s *Site) Configure(services []string, routes ...Route) {
	s.version += 3
	var rows, pools []any
	for _, r := range routes {
		row := map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.Prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 1, "service": r.Service, "max_attempts": r.MaxAttempts, "stretch": 1.6, "public": false,
		}
		rows = append(rows, row)
	}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0, "rejects_overload": false, "spare": name == s.Machines.Spare})
	}
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": rows, "services": pools,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team-a", "api_keys": []string{Key}, "priority": 1, "weight": 80, "cap": s.Cap}},
	})
	s.Store.Put("keyed.op", "config", value)
	s.Record.Add("operator: version %d of the configuration is acknowledged", s.version)
}

// AddDaemon starts a daemon with the command of the deploy file.
func (s *Site) AddDaemon(name string) (*Daemon, error) {
	d := &Daemon{Name: name, Callers: FreeAddress(), Ready: FreeAddress(), site: s, settings: filepath.Join(s.dir, name+".json")}
	var err error
	if d.Store, err = NewLink(s.storeAt); err != nil {
		return nil, err
	}
	if d.Cloud, err = NewLink(s.cloudAt); err != nil {
		return nil, err
	}
	settings := map[string]any{
		"instance": name, "data_centre": "tr-a", "callers": d.Callers, "readiness": d.Ready, "peers": FreeAddress(), "operations": FreeAddress(),
		"store": d.Store.Address, "machines": d.Cloud.Address, "advisor": s.Advisor, "units": Partitions, "memory_mb": 284, "processor_share": 0.4,
		"duties_per_second": 64.0, "lists_per_second": 64.0,
		"bounds": map[string]any{
			"max_lease_ms": maxHold, "stop_timeout_ms": 200, "status_kept_s": 120, "grace_s": 6, "move_s": 1.5, "maintenance_s": 2,
			"duty_lease_ms": 3000, "cancel_ms": 3000, "drain_ms": 2000, "evacuate_ms": 5000,
		},
		"log": map[string]any{"level": "info"},
	}
	data, _ := json.Marshal(settings)
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, d.Start()
}

// Start starts the daemon's process.
func (d *Daemon) Start() error {
	logFile, err := os.OpenFile(filepath.Join(d.site.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	program := filepath.Join(d.site.Root, "target", "beryltided")
	d.process, err = os.StartProcess(program, []string{program, "fleet"}, &os.ProcAttr{
		Dir:   d.site.Root,
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.site.dir, "BERYLTIDE_CONFIG=" + d.settings},
		Files: []*os.File{nil, logFile, logFile},
		Sys:   &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	return err
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.site.Record.Add("%s gets signal %d", d.Name, int(sig))
	_ = d.process.Signal(sig)
}

// Kill kills the daemon's process and waits for its end.
func (d *Daemon) Kill() {
	_ = d.process.Kill()
	_, _ = d.process.Wait()
}

// WaitReady waits until all daemons are ready. It returns false after the time-out.
func (s *Site) WaitReady(timeout time.Duration) bool {
	return Wait(timeout, func() bool {
		for _, d := range s.Daemons {
			resp, err := s.client.Get("http://" + d.Ready + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Wait polls a condition and reports whether it held before the time-out.
func Wait(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Call makes a call of a client at a daemon and returns the status, 0 without an
// answer, and the body.
func (s *Site) Call(d *Daemon, method, host, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.Callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("X-Api-Key", Key)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	shown := body
	if len(shown) > 200 {
		shown = shown[:200] + "..."
	}
	s.Record.Add("client: %s %s %s", method, path, shown)
	resp, err := s.client.Do(req)
	if err != nil {
		s.Record.Add("client: %s %s gets no answer", method, path)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var out bytes.Buffer
	_, _ = io.Copy(&out, resp.Body)
	s.Record.Add("client: %s %s gets %d %s", method, path, resp.StatusCode, out.String())
	return resp.StatusCode, out.String()
}

// Close ends all processes. With REVIEW_LOGS set it keeps the daemons' logs there.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		for _, d := range s.Daemons {
			if data, err := os.ReadFile(filepath.Join(s.dir, d.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(to, d.Name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
	s.Record.Close()
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of the scripts.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Fail reports why a case couldn't run.
func Fail(s *Site, reason string) int {
	fmt.Println("could not run:", reason)
	if s != nil {
		s.Record.Add("could not run: %s", reason)
	}
	return CouldNot
}
