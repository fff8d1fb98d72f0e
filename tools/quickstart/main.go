// Command quickstart runs the whole system in separate processes: a simulated
// platform and three equal daemons. It applies a configuration and submits requests,
// of which one must be refused. It stops all processes that it started, and exits
// with an error if a step has an unexpected result.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/tools/internal/lab"
)

const (
	binDir       = "bin"
	exampleDir   = "examples/fjordmerke"
	exampleKey   = "example-vets-1"
	withdrawnKey = "vets-1"
	timeout      = 2 * time.Minute
)

var (
	daemonNames  = []string{"entry-1", "entry-2", "entry-3"}
	dataCentres  = []string{"trd1", "trd2", "trd3"}
	standinFlags = []string{"-instances", "50", "-data-centres", "trd1,trd2,trd3", "-rack-size", "4", "-run-time", "5ms"}
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	l, err := lab.New(binDir)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := l.Close(); err == nil {
			err = closeErr
		}
		if err == nil {
			printTitle("all processes have stopped")
		}
	}()
	q := &quickstart{lab: l}
	steps := []struct {
		title string
		do    func(context.Context) error
	}{
		{"start a stand-in platform and three daemons", q.start},
		{"check " + exampleDir + " against " + daemonNames[0] + " without a configuration", q.check},
		{"apply " + exampleDir, q.apply},
		{"check " + exampleDir + " against " + daemonNames[0], q.check},
		{"submit a proofing request through " + daemonNames[0], q.submitProofing},
		{"submit an engraving request through " + daemonNames[1], q.submitEngraving},
		{"show the fleet", q.status},
		{"show the burn of each service", q.burn},
		{"withdraw the key " + withdrawnKey + " and submit with it through " + daemonNames[2], q.submitWithdrawnKey},
	}
	for _, s := range steps {
		printTitle(s.title)
		if err := s.do(ctx); err != nil {
			return errors.WithMessage(err, s.title)
		}
	}
	return nil
}

func printTitle(title string) { fmt.Printf("== %s\n", title) }

// quickstart holds the processes of one run.
type quickstart struct {
	lab          *lab.Lab
	platformAddr string
	daemons      []*lab.Daemon
}

func (q *quickstart) start(ctx context.Context) error {
	var err error
	if q.platformAddr, _, err = q.lab.StartStandin(standinFlags...); err != nil {
		return err
	}
	for i, name := range daemonNames {
		d, err := q.lab.StartDaemon(name, dataCentres[i], q.platformAddr, nil)
		if err != nil {
			return err
		}
		q.daemons = append(q.daemons, d)
	}
	for _, d := range q.daemons {
		if err := q.waitJoined(ctx, d); err != nil {
			return err
		}
		fmt.Printf("%s callers http://%s operations http://%s\n", d.Name, d.CallersAddr, d.OperationsAddr)
	}
	return nil
}

// waitJoined waits until a daemon lists all daemons as members.
func (q *quickstart) waitJoined(ctx context.Context, d *lab.Daemon) error {
	return lab.Until(ctx, d.Name+" lists all daemons", func() bool {
		s, err := d.Status()
		return err == nil && len(s.Members) == len(daemonNames)
	})
}

func (q *quickstart) apply(ctx context.Context) error {
	if err := q.beryltide(ctx, "apply", exampleDir); err != nil {
		return err
	}
	for _, d := range q.daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
		if err := waitPlaced(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// waitPlaced waits until the pools of both queues have a serving instance.
func waitPlaced(ctx context.Context, d *lab.Daemon) error {
	return lab.Until(ctx, d.Name+" has instances for both queues", func() bool {
		s, err := d.Status()
		if err != nil {
			return false
		}
		serving := map[string]bool{}
		for _, i := range s.Instances {
			if i.Phase == "serving" {
				serving[i.Pool] = true
			}
		}
		return serving["proofing"] && serving["engraving"]
	})
}

func (q *quickstart) check(ctx context.Context) error {
	return q.beryltide(ctx, "check", "--against", q.daemons[0].OperationsAddr, exampleDir)
}

func (q *quickstart) status(ctx context.Context) error { return q.beryltide(ctx, "status") }

func (q *quickstart) burn(ctx context.Context) error { return q.beryltide(ctx, "report", "burn") }

// beryltide runs the command-line tool with this program's standard output and
// standard error.
func (q *quickstart) beryltide(ctx context.Context, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "beryltide"), args...)
	cmd.Env = append(os.Environ(), "BERYLTIDE_LOG=http://"+q.platformAddr)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return errors.Wrapf(cmd.Run(), "beryltide %s", args[0])
}
