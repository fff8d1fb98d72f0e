package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/replay"
	"github.com/beryltide/beryltide/internal/status"
)

const flagHTML = "html"

// chartHours is the length of a service's chart, with one column for each hour.
const chartHours = 72

// chartSteps are the columns of a chart, each with the lowest burn rate that it
// represents.
var chartSteps = []struct {
	rate   float64
	column rune
}{{14.4, '█'}, {10, '▇'}, {6, '▆'}, {4, '▅'}, {2, '▄'}, {1, '▃'}, {0.5, '▂'}, {0, '▁'}}

func (t *tool) reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "report on the service",
		Commands: []*cli.Command{{
			Name:         "burn",
			Usage:        "show how fast each service uses up its error budget, and why",
			OnUsageError: usageError,
			Action:       t.reportBurn,
			Flags: []cli.Flag{
				daemonFlag(),
				&cli.StringFlag{Name: flagHTML, Usage: "write the report with plots to `FILE`"},
			},
		}},
	}
}

func (t *tool) reportBurn(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, snap, err := t.burnMembers(ctx, cmd)
	if err != nil {
		return err
	}
	r := operator.NewBurnReport(members, operator.FetchBurn(ctx, t.client, members), snap, time.Now())
	if file := cmd.String(flagHTML); file != "" {
		if err := writeHTML(file, r); err != nil {
			return err
		}
	}
	return t.print(cmd, r, func() { t.printBurn(r) })
}

// burnMembers returns the members, from the log or from the daemon that the
// command line names. The snapshot of the log is nil in the second case.
func (t *tool) burnMembers(ctx context.Context, cmd *cli.Command) ([]status.Member, *controlstate.Snapshot, error) {
	if cmd.String(flagDaemon) != "" {
		members, err := t.members(ctx, cmd)
		return members, nil, err
	}
	log, _, err := openLog(cmd)
	if err != nil {
		return nil, nil, err
	}
	state, err := replay.State(ctx, log)
	if err != nil {
		return nil, nil, err
	}
	snap := state.Snapshot()
	return membersFrom(snap), snap, nil
}

func writeHTML(file string, r operator.BurnReport) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := renderHTML(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return errors.WithStack(f.Close())
}

func (t *tool) printBurn(r operator.BurnReport) {
	t.printLine("", "burn at %s, from %d of %d daemons",
		time.Unix(r.At, 0).UTC().Format(time.RFC3339), r.Daemons-len(r.Missing), r.Daemons)
	for _, m := range r.Missing {
		t.printLine(ansiYellow, "! %s didn't answer: its newest counts are missing", m)
	}
	for _, s := range r.Services {
		t.printServiceBurn(r.At, s)
	}
}

func (t *tool) printServiceBurn(at int64, s burn.ServiceReport) {
	t.printf("\n")
	t.printLine(ansiBold, "%s: %.4g%% good within %s", truncate(s.Service, nameWidth), s.Objective*100,
		time.Duration(s.LatencyObjective)*time.Millisecond)
	t.printLine("", "  good %d, bad %d, error budget left %.1f%%", s.Counts.Good, s.Counts.Bad(), s.BudgetLeft*100)
	rates := make([]string, len(s.Windows))
	for i, w := range s.Windows {
		rates[i] = fmt.Sprintf("%s %.2f", w.Window, w.Rate)
	}
	t.printLine("", "  burn rate %s", strings.Join(rates, ", "))
	for _, a := range s.Alerts {
		t.printLine(ansiYellow, "  ! %s: over %.4g in %s and %s", a.Severity, a.Threshold, a.Long, a.Short)
	}
	t.printLine("", "  %s", chart(at, s))
	for _, src := range s.Sources {
		t.printLine("", "  %s: %s", place(src), causes(src.Counts))
	}
}

// place returns the name of a source of bad answers.
func place(s burn.SourceReport) string {
	if s.Pool == "" {
		return "elsewhere"
	}
	return s.Pool + " in " + s.DataCentre
}

// causes returns the kinds of bad outcomes that occurred, with their counts.
func causes(c burn.Counts) string {
	var parts []string
	for _, cause := range []struct {
		name  string
		count int64
	}{
		{"refused", c.Refused},
		{"timed out", c.TimedOut},
		{"may have run", c.MayHaveRun},
		{"late", c.Late},
		{"failed", c.Failed},
	} {
		if cause.count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", cause.name, cause.count))
		}
	}
	return strings.Join(parts, ", ")
}

// chart draws the burn rate by the hour, the current hour last. Hours without
// requests are dots.
func chart(at int64, s burn.ServiceReport) string {
	const hour = int64(time.Hour / time.Second)
	byHour := map[int64]burn.Counts{}
	for _, b := range s.Hours {
		byHour[b.Start/hour] = b.Counts
	}
	var columns strings.Builder
	for h := at/hour - chartHours + 1; h <= at/hour; h++ {
		columns.WriteRune(column(byHour[h], s.Objective))
	}
	return columns.String()
}

// column returns the chart's column for the counts of an hour.
func column(c burn.Counts, objective float64) rune {
	if c.Total() == 0 {
		return '·'
	}
	rate := c.Rate(objective)
	for _, step := range chartSteps {
		if rate >= step.rate {
			return step.column
		}
	}
	return ' '
}
