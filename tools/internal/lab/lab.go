// Package lab starts a simulated platform and daemons as separate processes for
// tools, and stops them by their process ids. All of them listen on loopback.
package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/status"
)

// Timeouts for starting and stopping processes.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Lab owns the processes that a tool starts. It isn't safe for concurrent use.
type Lab struct {
	binDir    string
	dir       string
	processes []*Process
}

// Process is one started process. done is closed when it has ended; err is set
// before.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Daemon is one started beryltided, with the addresses of its listeners for callers
// and operations.
type Daemon struct {
	*Process
	CallersAddr    string
	OperationsAddr string
	// settingsFile is the path of the daemon's settings.
	settingsFile string
}

// New returns a lab that runs the programs in binDir and keeps its files in a new
// temporary directory.
func New(binDir string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "beryltide-lab-")
	return &Lab{binDir: binDir, dir: dir}, errors.Wrap(err, "lab")
}

// Dir returns the directory of the lab's files.
func (l *Lab) Dir() string { return l.dir }

// Close stops the processes that still run, the newest first, and removes the lab's
// files. It returns the first error.
func (l *Lab) Close() error {
	var firstErr error
	for i := len(l.processes) - 1; i >= 0; i-- {
		if err := l.processes[i].Stop(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if err := os.RemoveAll(l.dir); err != nil && firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// StartStandin starts the standin program with extra flags and returns the address of its
// platform. On an error, the process is not nil if it was started.
func (l *Lab) StartStandin(args ...string) (string, *Process, error) {
	p, out, err := l.start("standin", append([]string{"-listen", "127.0.0.1:0"}, args...), true)
	if err != nil {
		return "", nil, err
	}
	line := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			select {
			case line <- scanner.Text():
			default:
			}
		}
	}()
	select {
	case text := <-line:
		_, addr, ok := strings.Cut(text, "platform=")
		if !ok {
			return "", p, errors.Errorf("stand-in printed %q", text)
		}
		return addr, p, nil
	case <-p.done:
		return "", p, errors.Errorf("stand-in exited: %v", p.err)
	case <-time.After(startTimeout):
		return "", p, errors.New("stand-in printed no address")
	}
}

// StartDaemon starts a daemon that uses the platform at an address, with settings that
// change may edit. It doesn't wait until the daemon is ready.
func (l *Lab) StartDaemon(name, dataCentre, platform string, change func(settings map[string]any)) (*Daemon, error) {
	addrs, err := freeAddrs(3)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"instance":   name,
		"rack":       "rack-" + name,
		"dataCentre": dataCentre,
		"callers":    map[string]any{"listen": addrs[0]},
		"peers":      map[string]any{"listen": addrs[1], "plaintext": true},
		"operations": map[string]any{"listen": addrs[2]},
		"platform":   map[string]any{"log": "http://" + platform, "directory": "http://" + platform},
		"timeouts":   map[string]any{"balancerDelay": "0s"},
		"log":        map[string]any{"level": "warn"},
	}
	if change != nil {
		change(settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	file := filepath.Join(l.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	p, _, err := l.start("beryltided", []string{"-settings", file}, false)
	if err != nil {
		return nil, err
	}
	return &Daemon{Process: p, CallersAddr: addrs[0], OperationsAddr: addrs[2], settingsFile: file}, nil
}

// Restart starts an ended daemon again, with the same settings.
func (l *Lab) Restart(d *Daemon) error {
	p, _, err := l.start("beryltided", []string{"-settings", d.settingsFile}, false)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// WaitReady waits until the daemon's readiness check passes.
func (d *Daemon) WaitReady(ctx context.Context) error {
	return Until(ctx, d.Name+" is ready", func() bool {
		resp, err := http.Get("http://" + d.OperationsAddr + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Status fetches the daemon's status document.
func (d *Daemon) Status() (status.Status, error) {
	var s status.Status
	resp, err := http.Get("http://" + d.OperationsAddr + "/v1/status")
	if err != nil {
		return s, errors.Wrap(err, "status")
	}
	defer resp.Body.Close()
	return s, errors.Wrap(json.NewDecoder(resp.Body).Decode(&s), "status")
}

// Revision fetches the revision of the daemon's active configuration.
func (d *Daemon) Revision() (uint64, error) {
	var r status.Revision
	resp, err := http.Get("http://" + d.OperationsAddr + "/v1/revision")
	if err != nil {
		return 0, errors.Wrap(err, "revision")
	}
	defer resp.Body.Close()
	return r.Revision, errors.Wrap(json.NewDecoder(resp.Body).Decode(&r), "revision")
}

// Until polls a condition until it holds. It returns an error that names what if ctx
// ends first.
func Until(ctx context.Context, what string, condition func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Errorf("timed out before %s", what)
		}
	}
	return nil
}

// start starts a program. If pipeStdout is true, it returns the read end of a pipe
// from its standard output.
func (l *Lab) start(program string, args []string, pipeStdout bool) (*Process, *os.File, error) {
	cmd := exec.Command(filepath.Join(l.binDir, program), args...)
	cmd.Stderr = os.Stderr
	var out, write *os.File
	if pipeStdout {
		var err error
		if out, write, err = os.Pipe(); err != nil {
			return nil, nil, errors.Wrap(err, "pipe")
		}
		cmd.Stdout = write
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, errors.Wrapf(err, "start %s", program)
	}
	if write != nil {
		write.Close()
	}
	p := &Process{Name: fmt.Sprintf("%s[%d]", program, cmd.Process.Pid), cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	l.processes = append(l.processes, p)
	return p, out, nil
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill kills the process and waits for it to end.
func (p *Process) Kill() {
	// The error means that the process has ended already.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop terminates the process and waits until it has ended. It returns an error if
// it had to kill the process after stopTimeout or the process exited with a failure,
// and nil if the process had ended before.
func (p *Process) Stop() error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	// A stopped process handles the signal only after it continues.
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	select {
	case <-p.done:
		return errors.Wrap(p.err, p.Name)
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

// The lab's ports lie below the kernel's range for outgoing connections, which
// could take a free port before its daemon does.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the next port to try. It starts at another port in each process, so
// that labs of different processes rarely collide.
var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

// freeAddrs returns n loopback addresses on which nothing listens.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range lastPort - firstPort {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ln.Close()
		addrs = append(addrs, addr)
	}
	return nil, errors.New("no free loopback address")
}
