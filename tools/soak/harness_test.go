package main

import (
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Faults overlap: one may signal a daemon while another one, which ends at the same
// moment, starts it again. The signal must go to a process that has started, never
// to a command that is still being started.
func TestSignalDuringRestart(t *testing.T) {
	is := is.New(t)
	binary, err := exec.LookPath("true")
	is.NoErr(err)
	p := &process{name: "d", checker: newChecker(), logFile: newLog(t)}
	p.signal(syscall.SIGCONT) // not started yet
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				p.signal(syscall.SIGCONT)
			}
		}
	})
	for range 50 {
		is.NoErr(p.restart(binary))
	}
	close(stop)
	wg.Wait()
	p.wait()
}
