package callerload

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/beryltide/beryltide/internal/fleetd"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/tools/internal/storeserver"
)

const (
	queueHost = "load.example"
	// Paths of a queue that wants a key and of one that is open to all.
	keyedPath  = "/keyed/"
	publicPath = "/public/"
	// bodyBytes is the configuration's default limit of a body.
	bodyBytes = 256 << 10
	// teamCount is the number of teams, each with one key.
	teamCount = 50
	// ordinaryTimeout ends a test in which the daemon hangs. It isn't a requirement.
	ordinaryTimeout = 60 * time.Second
)

// binary is the daemon's program, built by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "callerload-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "beryltided")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/beryltided").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a daemon process with a store of its own.
type daemon struct {
	t        *testing.T
	settings fleetd.Settings
	cmd      *exec.Cmd
	ended    chan struct{}
	logFile  string
	usage    *usage
}

func newStore(t *testing.T) *memstore.Store {
	t.Helper()
	fake := memstore.New(2)
	fake.Limits = store.Limits{Record: 262_144, Append: 2_097_152}
	must(t, fake.Client().Append(context.Background(), "keyed.op", 0, []store.Record{{Key: "config", Value: configuration(t)}}, nil))
	return fake
}

// startDaemon starts a daemon with lowered limits and waits until it is ready.
func startDaemon(t *testing.T, memoryMB, maxDescriptors int) *daemon {
	t.Helper()
	return startDaemonAt(t, newStore(t), memoryMB, maxDescriptors)
}

func startDaemonAt(t *testing.T, fake *memstore.Store, memoryMB, maxDescriptors int) *daemon {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, (&storeserver.Server{Client: fake.Client()}).Handler()) }()
	d := &daemon{t: t, ended: make(chan struct{}), logFile: filepath.Join(t.TempDir(), "log")}
	d.settings = fleetd.Settings{
		Instance: "d-0", DataCentre: "z", Callers: freeAddress(t), Readiness: freeAddress(t), Peers: freeAddress(t), Operations: freeAddress(t),
		Store: l.Addr().String(), Units: 2, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, ProcessorShare: 1,
		Bounds: fleetd.BoundSettings{MaxLeaseMS: 10_000, GraceS: 6, StopTimeoutMS: 200, StatusKeptS: 120, CancelMS: 3000, DrainMS: 2000, EvacuateMS: 5000},
		Log:    fleetd.LogSettings{Level: "info"},
	}
	data, err := json.Marshal(d.settings)
	must(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	must(t, os.WriteFile(file, data, 0o600))
	out, err := os.Create(d.logFile)
	must(t, err)
	d.cmd = exec.Command(binary, "fleet", "--settings", file)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
		_ = out.Close()
	})
	d.ordinary("readiness", func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+d.settings.Readiness+"/readyz", nil)
	})
	d.usage = watchUsage(d.cmd.Process.Pid, d.settings)
	return d
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// listenerCount counts the addresses that freeAddress has returned.
var listenerCount atomic.Int64

// freeAddress returns a free port of a loopback address of its own: on a common one
// another listener or a connection may take the port before the daemon listens there.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 1+listenerCount.Add(1)%250))
	must(t, err)
	defer l.Close()
	return l.Addr().String()
}

func key(team int) string { return fmt.Sprintf("key-%d", team%teamCount) }

func configuration(t *testing.T) []byte {
	t.Helper()
	var teams []map[string]any
	for n := range teamCount {
		teams = append(teams, map[string]any{"name": fmt.Sprintf("t%d", n), "api_keys": []string{key(n)}, "weight": 1, "cap": map[string]int{"cpu": 1000}})
	}
	data, err := json.Marshal(map[string]any{
		"version": 1, "services": []map[string]any{{"name": "p"}}, "tenants": teams,
		"routes": []map[string]any{
			{"name": "keyed", "host": queueHost, "path_prefix": keyedPath, "service": "p", "max_attempts": 4, "stretch": 2, "target_latency_ms": 1000},
			{"name": "public", "host": queueHost, "path_prefix": publicPath, "service": "p", "public": true, "max_attempts": 4, "stretch": 2, "target_latency_ms": 1000},
		},
	})
	must(t, err)
	return data
}

// ordinary repeats an ordinary request on new connections until it is answered with 200.
func (d *daemon) ordinary(what string, request func() (*http.Request, error)) {
	d.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	last := ""
	for begin := time.Now(); time.Since(begin) < ordinaryTimeout; time.Sleep(100 * time.Millisecond) {
		select {
		case <-d.ended:
			d.t.Fatalf("the process has ended: %s; log: %s", d.cmd.ProcessState, d.logTail())
		default:
		}
		r, err := request()
		must(d.t, err)
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if last = resp.Status; resp.StatusCode == http.StatusOK {
			return
		}
	}
	d.t.Fatalf("%s: no answer with 200, last: %s; log: %s", what, last, d.logTail())
}

// check fails the test unless the process lives, stayed within its memory and its
// descriptors, and answers an ordinary submission.
func (d *daemon) check() {
	d.t.Helper()
	d.ordinary("ordinary submission", func() (*http.Request, error) {
		return submission(d.settings.Callers, keyedPath, key(teamCount-1), strings.NewReader(`{"spec":"x","steps":[{"count":1,"cpu":100,"est_runtime_ms":100}]}`))
	})
	peak := d.usage.stop()
	d.t.Logf("peak: %d MiB resident, %d MiB with socket buffers, %d descriptors", peak.resident>>20, peak.memory>>20, peak.descriptors)
	if bound := int64(d.settings.MemoryMB) << 20; peak.memory > bound {
		d.t.Errorf("memory: %d MiB with socket buffers, at most %d", peak.memory>>20, bound>>20)
	}
	if peak.descriptors > d.settings.MaxDescriptors {
		d.t.Errorf("descriptors: %d, at most %d", peak.descriptors, d.settings.MaxDescriptors)
	}
}

func (d *daemon) logTail() string {
	data, err := os.ReadFile(d.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-2000):])
}
