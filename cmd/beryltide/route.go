package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/status"
)

// errNoRoute is returned if no queue takes the path.
var errNoRoute = errors.New("no queue takes this host and path; callers get 404")

// explainRouteCommand returns the command that prints which queue takes a request.
func (t *tool) explainRouteCommand() *cli.Command {
	return &cli.Command{
		Name:         "route",
		Usage:        "show which queue takes a request, and what applies to its jobs",
		ArgsUsage:    "HOST PATH",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDaemon, Required: true, Usage: "ask the daemon with the operations address `HOST:PORT`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.Wrap(errUsage, "explain route: want a host and a path")
			}
			r, err := operator.FetchRoute(ctx, t.client, cmd.String(flagDaemon), cmd.Args().Get(0), cmd.Args().Get(1))
			if err != nil {
				return err
			}
			if r.Queue == "" {
				return errors.Wrapf(errNoRoute, "configuration %d", r.Configuration)
			}
			return t.print(cmd, r, func() { t.printRoute(r) })
		},
	}
}

func (t *tool) printRoute(r status.Route) {
	t.printf("queue %s, prefix %s, configuration %d\n", r.Queue, r.Prefix, r.Configuration)
	if r.PoolKnown {
		t.printf("pool: %s\n", r.Pool)
	} else {
		t.printf("pool: %s, which the configuration doesn't describe: tasks wait\n", r.Pool)
	}
	if r.Public {
		t.printf("callers: anyone; no key needed, no team's limit applies\n")
	} else {
		t.printf("callers: those with a team's key; the team's limit applies\n")
	}
	t.printf("objective: %g times a job's critical path, plus %d ms\n", r.Stretch, r.TargetLatency)
	if r.BodyBytes > 0 {
		t.printf("body: up to %d bytes\n", r.BodyBytes)
	}
	t.printf("priority: %d (0 is the highest)\n", r.Priority)
	if r.Advised {
		t.printf("instances: only those that the advisor allows\n")
	}
	t.printf("repeats: a submission with the same ID is the same job; it never runs a second time\n")
	if r.MaxFailures > 0 {
		t.printf("attempts: a task runs again after a run that ended without result; the job fails after %d failed runs\n", r.MaxFailures)
	} else {
		t.printf("attempts: a task runs again after a run that ended without result\n")
	}
	for _, s := range r.Shadowed {
		t.printf("also matches, with a shorter prefix: queue %s, prefix %s\n", s.Queue, s.Prefix)
	}
}
