// Command beryltide is the operators' tool: it checks and applies configurations,
// and shows the state of the daemons.
//
// Apply is the only command that changes the system.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/operator"
)

// Exit codes; scripts may rely on them.
const (
	exitFailure   = 1 // anything not named below; of check: findings
	exitInvalid   = 2 // the files or the command line are wrong; of check: it can't tell
	exitStale     = 3 // another change was accepted first
	exitUnknown   = 4 // the outcome of the change wasn't read back in time
	exitNotActive = 5 // accepted, but not confirmed as active by every daemon
)

var (
	errUsage     = errors.New("wrong usage")
	errNotActive = errors.New("not active at every daemon")
	errFindings  = errors.New("the check has findings")
	errUndecided = errors.New("the check couldn't be completed")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{out: stdout, err: stderr, client: &http.Client{}}
	err := t.root().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "beryltide:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var faults configuration.Faults
	switch {
	case errors.As(err, &faults), errors.Is(err, errUsage), errors.Is(err, errUndecided):
		return exitInvalid
	case errors.Is(err, configuration.ErrStale):
		return exitStale
	case errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	case errors.Is(err, errNotActive):
		return exitNotActive
	default:
		return exitFailure
	}
}

// tool holds the outputs and the HTTP client that the commands share.
type tool struct {
	out    io.Writer
	err    io.Writer
	client *http.Client
}

func (t *tool) root() *cli.Command {
	return &cli.Command{
		Name:           "beryltide",
		Usage:          "apply configurations and show the state of the daemons",
		Writer:         t.out,
		ErrWriter:      t.err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "JSON settings `FILE` of this tool", Sources: cli.EnvVars("BERYLTIDE_SETTINGS")},
			&cli.StringFlag{Name: flagLog, Usage: "`URL` of the platform's log", Sources: cli.EnvVars("BERYLTIDE_LOG")},
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputText, Usage: "output `FORMAT`: text or json"},
		},
		Commands: []*cli.Command{
			t.applyCommand(),
			t.checkCommand(),
			t.validateCommand(),
			t.diffCommand(),
			t.statusCommand(),
			t.reportCommand(),
			t.explainCommand(),
			t.keyCommand(),
			t.versionCommand(),
		},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Wrap(errUsage, err.Error())
}
