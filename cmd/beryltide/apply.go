package main

import (
	"context"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/platform"
)

// Names and defaults of the flags of apply.
const (
	flagBase       = "base"
	flagTimeout    = "timeout"
	flagWait       = "wait"
	anyBase        = -1
	defaultTimeout = 30 * time.Second
	defaultWait    = 10 * time.Second
)

// applyResult is the machine-readable result of apply.
type applyResult struct {
	Revision  uint64                    `json:"revision"`
	Unchanged bool                      `json:"unchanged"`
	Daemons   []operator.DaemonRevision `json:"daemons"`
}

func (t *tool) applyCommand() *cli.Command {
	return &cli.Command{
		Name:         "apply",
		Usage:        "activate the configuration of a directory, whole or not at all",
		ArgsUsage:    "DIR",
		OnUsageError: usageError,
		Action:       t.apply,
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBase, Value: anyBase, Usage: "refuse unless `REVISION` is the active one, as printed by diff"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "how long to wait until the change is accepted"},
			&cli.DurationFlag{Name: flagWait, Value: defaultWait, Usage: "how long to wait until every daemon has activated it"},
		},
	}
}

func (t *tool) apply(ctx context.Context, cmd *cli.Command) error {
	doc, err := readDocument(cmd)
	if err != nil {
		return err
	}
	log, s, err := openLog(cmd)
	if err != nil {
		return err
	}
	change := operator.Change{Document: doc, Base: operator.AnyBase, Operator: operatorName(s)}
	if base := cmd.Int64(flagBase); base != anyBase {
		change.Base = uint64(base)
	}
	applied, err := applyChange(ctx, cmd.Duration(flagTimeout), log, change)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	result := applyResult{
		Revision:  applied.Revision,
		Unchanged: applied.Unchanged,
		Daemons:   operator.WaitForRevision(ctx, t.client, applied.State.Members.All(), applied.Revision),
	}
	if err := t.print(cmd, result, func() { t.printApplied(result) }); err != nil {
		return err
	}
	return checkActive(result)
}

func applyChange(ctx context.Context, timeout time.Duration, log platform.Log, c operator.Change) (operator.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return operator.Apply(ctx, log, c)
}

func (t *tool) printApplied(r applyResult) {
	if r.Unchanged {
		t.printf("revision %d is already active\n", r.Revision)
	} else {
		t.printf("accepted as revision %d\n", r.Revision)
	}
	for _, d := range r.Daemons {
		if d.Error != "" {
			t.printf("  %-20s no answer: %s\n", d.Instance, d.Error)
			continue
		}
		t.printf("  %-20s revision %d\n", d.Instance, d.Revision)
	}
	if len(r.Daemons) == 0 {
		t.printf("  no daemon has joined yet\n")
	}
}

// checkActive returns errNotActive, wrapped, unless every daemon has reported
// the revision, or a later one, as active.
func checkActive(r applyResult) error {
	behind := 0
	for _, d := range r.Daemons {
		if d.Behind(r.Revision) {
			behind++
		}
	}
	if behind == 0 {
		return nil
	}
	return errors.Wrapf(errNotActive, "revision %d is accepted, but %d of %d daemons haven't confirmed it", r.Revision, behind, len(r.Daemons))
}

// operatorName returns the name in the settings, or else the login name.
func operatorName(s settings) string {
	if s.Operator != "" {
		return s.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
