package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/replay"
	"github.com/beryltide/beryltide/internal/status"
)

const (
	flagDaemon  = "daemon"
	readTimeout = 10 * time.Second
)

func (t *tool) statusCommand() *cli.Command {
	return &cli.Command{
		Name:         "status",
		Usage:        "show daemons, pools, teams and problems",
		OnUsageError: usageError,
		Flags:        []cli.Flag{daemonFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			members, answers, err := t.queryDaemons(ctx, cmd)
			if err != nil {
				return err
			}
			o := operator.NewOverview(members, answers)
			return t.print(cmd, o, func() { t.printOverview(o) })
		},
	}
}

func daemonFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDaemon, Usage: "read the members from the daemon at `HOST:PORT`, for use while the log is unreachable"}
}

// queryDaemons returns the members and the status of each, or the error of its
// query.
func (t *tool) queryDaemons(ctx context.Context, cmd *cli.Command) ([]status.Member, []operator.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, err := t.members(ctx, cmd)
	if err != nil {
		return nil, nil, err
	}
	return members, operator.FetchStatuses(ctx, t.client, members), nil
}

// members returns the members, from the log or from the daemon that the command
// line names.
func (t *tool) members(ctx context.Context, cmd *cli.Command) ([]status.Member, error) {
	if addr := cmd.String(flagDaemon); addr != "" {
		s, err := operator.FetchStatus(ctx, t.client, addr)
		return s.Members, err
	}
	log, _, err := openLog(cmd)
	if err != nil {
		return nil, err
	}
	state, err := replay.State(ctx, log)
	if err != nil {
		return nil, err
	}
	return membersFrom(state.Snapshot()), nil
}

func membersFrom(snap *controlstate.Snapshot) []status.Member {
	var members []status.Member
	for _, m := range snap.Members.All() {
		members = append(members, status.Member{
			ID:         string(m.ID),
			Instance:   m.Instance,
			DataCentre: m.DataCentre,
			OpsAddr:    m.OpsAddr,
			Folded:     int64(m.Folded),
		})
	}
	return members
}
