package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/memstore"
)

// process is one daemon, with its own client of the store and a proxy in front of
// it.
type process struct {
	name           string
	settingsFile   string
	callersAddress string
	peersAddress   string
	checker        *checker
	storeClient    *memstore.Client
	storeProxy     *proxy
	logFile        *os.File
	// life is the newest start that succeeded; nil before the first. Faults read it
	// while another one restarts the process.
	life atomic.Pointer[life]
	// clockStep is by how many seconds the process's time of day is off.
	clockStep atomic.Int64
	// mu lets only one fault at a time restart the process.
	mu sync.Mutex
}

// life is one start of a process.
type life struct {
	cmd *exec.Cmd
	// done is closed when the process has ended and been waited for.
	done chan struct{}
	// toEnd is set before a signal that ends the process.
	toEnd atomic.Bool
	// steps is the writing end of the process's stepsFD.
	steps *os.File
}

func (p *process) start(binary string) error {
	l := &life{cmd: exec.Command(binary, "fleet", "--settings", p.settingsFile), done: make(chan struct{})}
	l.cmd.Stdout, l.cmd.Stderr = p.logFile, p.logFile
	// The daemon ends with the soak, however that ends.
	l.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	steps, write, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, p.name)
	}
	defer func() { _ = steps.Close() }()
	l.steps, l.cmd.ExtraFiles = write, []*os.File{stepsFD - 3: steps}
	l.step(p.clockStep.Load())
	if err := l.cmd.Start(); err != nil {
		_ = write.Close()
		return errors.Wrap(err, p.name)
	}
	p.life.Store(l)
	go p.watch(l)
	return nil
}

// watch waits for the end of a process. One that nobody has signalled has ended by
// itself, which breaks a promise.
func (p *process) watch(l *life) {
	err := l.cmd.Wait()
	if !l.toEnd.Load() {
		p.checker.report("%s ended by itself (%v): %s", p.name, err, p.lastLine())
	}
	_ = l.steps.Close()
	close(l.done)
}

// isMember reports whether a member's name in the store, which begins with the address for
// peers, is that of the process or of a former life of it.
func (p *process) isMember(name string) bool { return strings.HasPrefix(name, p.peersAddress+"#") }

// lastLine returns the last line of the process's log.
func (p *process) lastLine() string {
	data, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process, unless it hasn't started or has ended, and
// reports whether it was sent.
func (p *process) signal(s syscall.Signal) bool {
	l := p.life.Load()
	if l == nil {
		return false
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM || s == syscall.SIGQUIT {
		l.toEnd.Store(true)
	}
	err := l.cmd.Process.Signal(s)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, p.name, err)
	}
	return err == nil
}

// stopped reports whether the process is stopped, by its state in the kernel.
func (p *process) stopped() bool {
	l := p.life.Load()
	if l == nil {
		return false
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.cmd.Process.Pid))
	if err != nil {
		return false
	}
	// The name in parentheses may contain spaces.
	_, state, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(state, "T")
}

// wait waits for the process to end.
func (p *process) wait() {
	if l := p.life.Load(); l != nil {
		<-l.done
	}
}

// restart waits for the process to end and starts it again.
func (p *process) restart(binary string) error {
	p.wait()
	return p.start(binary)
}
