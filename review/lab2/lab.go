package lab2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Log writes events, one a line, with the time since the start.
type Log struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	hook  func(name string, fields []any)
}

// Event writes an event with fields, each a name and a value.
func (l *Log) Event(name string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%9.3f %s", time.Since(l.begun).Seconds(), name)
	for n := 0; n+1 < len(fields); n += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[n], fields[n+1])
	}
	_, _ = l.file.WriteString(line.String() + "\n")
	if l.hook != nil {
		l.hook(name, fields)
	}
}

// OnEvent has a function called with each event. It must not write events.
func (l *Log) OnEvent(hook func(name string, fields []any)) { l.hook = hook }

// Lab is a small deployment.
type Lab struct {
	*Log
	Store    *Store
	Machines *Machines
	Daemons  []*Daemon
	// Trouble is false if the disruption is left out.
	Trouble bool

	repository, dir string
	client          *http.Client
}

// New starts the store and the machine service. The repository's root is the working
// directory, and the record is written to the file named by RECORD.
func New() (*Lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &Lab{Log: &Log{file: record, begun: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", repository: root, dir: dir, client: &http.Client{Timeout: 4 * time.Second}}
	if l.Store, err = StartStore(); err != nil {
		return nil, err
	}
	if l.Machines, err = StartMachines(l.Store, l.Log); err != nil {
		return nil, err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		l.Close()
		os.Exit(NotRun)
	}()
	return l, nil
}

// Close ends all daemons and removes the temporary folder.
func (l *Lab) Close() {
	for _, d := range l.Daemons {
		d.Kill()
	}
	_ = os.RemoveAll(l.dir)
}

// Finish records the result and returns the exit code.
func (l *Lab) Finish(code int, reason string) int {
	l.Event("result", "code", code, "reason", strconv.Quote(reason))
	fmt.Println(reason)
	return code
}

// Configure writes the operator's configuration.
func (l *Lab) Configure(config map[string]any) {
	data, _ := json.Marshal(config)
	l.Event("operator sends config", "version", config["version"])
	l.Store.Put("keyed.op", "config", data)
}

// Daemon is a process of the system under test.
type Daemon struct {
	Name, Front, Ready, Peers string
	lab                       *Lab
	settings                  string
	mu                        sync.Mutex
	process                   *os.Process
	ended                     chan struct{}
}

// freeAddress returns an address with a free port. Connections to other addresses come from
// 127.0.0.1, so none of them takes the port before the process does.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// AddDaemon starts a daemon with the settings of a small deployment; memoryMB is that of
// its machine.
func (l *Lab) AddDaemon(name, zone string, memoryMB int) (*Daemon, error) {
	addresses := make([]string, 4)
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(fmt.Sprintf("127.0.1.%d", 1+len(l.Daemons))); err != nil {
			return nil, err
		}
	}
	d := &Daemon{Name: name, Front: addresses[0], Ready: addresses[1], Peers: addresses[2], lab: l, settings: filepath.Join(l.dir, name+".json")}
	settings, _ := json.Marshal(map[string]any{
		"instance": name, "data_centre": zone, "callers": addresses[0], "readiness": addresses[1], "peers": addresses[2], "operations": addresses[3],
		"store": l.Store.Addr, "machines": l.Machines.Addr, "advisor": "127.0.0.1:9", "units": parts, "memory_mb": memoryMB, "max_descriptors": 4100,
		"processor_share": 0.4, "duties_per_second": 64.0, "lists_per_second": 64.0, "record_bytes": 262144, "call_bytes": 2097152,
		"bounds": map[string]any{
			"max_lease_ms": 10000, "stop_timeout_ms": 200, "status_kept_s": 120, "grace_s": 6, "move_s": 1.5, "maintenance_s": 2,
			"duty_lease_ms": 3000, "cancel_ms": 3000, "drain_ms": 2000, "evacuate_ms": 5000,
		},
		"log": map[string]any{"level": "info"},
	})
	if err := os.WriteFile(d.settings, settings, 0o600); err != nil {
		return nil, err
	}
	l.Daemons = append(l.Daemons, d)
	return d, d.Start()
}

// Start starts the process, as the deploy file does.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if logs := os.Getenv("DAEMON_LOGS"); logs != "" {
		out, err = os.OpenFile(filepath.Join(logs, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	program := filepath.Join(d.lab.repository, "target", "beryltided")
	process, err := os.StartProcess(program, []string{program, "fleet"}, &os.ProcAttr{
		Dir: d.lab.repository, Files: []*os.File{nil, out, out},
		Env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.lab.dir, "LANG=C", "BERYLTIDE_CONFIG=" + d.settings},
		Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = process, ended
	d.lab.Event("process starts", "daemon", d.Name)
	go func() {
		state, err := process.Wait()
		d.lab.Event("process ended", "daemon", d.Name, "state", strconv.Quote(fmt.Sprint(state)), "error", err)
		close(ended)
	}()
	return nil
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
	default:
		d.lab.Event("signal", "daemon", d.Name, "signal", s)
		_ = d.process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.ended
}

// Memory returns the memory of the process in MiB; 0 if it has ended.
func (d *Daemon) Memory() int {
	d.mu.Lock()
	pid := d.process.Pid
	d.mu.Unlock()
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// AwaitReady waits until all daemons are ready.
func (l *Lab) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, d := range l.Daemons {
		for !l.ready(d) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func (l *Lab) ready(d *Daemon) bool {
	resp, err := l.client.Get("http://" + d.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Call sends a client's request to a daemon and records it. Status 0 means no answer.
func (l *Lab) Call(d *Daemon, method, host, path, key string, body any) (int, []byte) {
	var payload io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		l.Event("sent", "daemon", d.Name, "method", method, "path", path, "body", string(data))
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+d.Front+path, payload)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	begin := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		l.Event("call", "daemon", d.Name, "method", method, "path", path, "status", 0, "error", strconv.Quote(err.Error()))
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	l.Event("call", "daemon", d.Name, "method", method, "path", path, "status", resp.StatusCode, "body", string(data), "took_ms", time.Since(begin).Milliseconds())
	return resp.StatusCode, data
}

// Route returns a route of a configuration. Its objective is that of the small sites.
func Route(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
		"priority": 0, "service": service, "max_attempts": 4, "stretch": 1.6, "public": false,
	}
}

// Config returns a configuration.
func Config(version int, routes []map[string]any, services []string, spare string, tenants []map[string]any) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"rejects_overload": false, "spare": name == spare,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// Tenant returns a tenant of a configuration with one key and a cap; 0 means no limit.
func Tenant(name, key string, cpu, memory int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "weight": 10, "cap": map[string]int{"cpu": cpu, "mem_mb": memory, "gpu": 0}}
}
