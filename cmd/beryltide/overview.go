package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/beryltide/beryltide/internal/operator"
)

// Widths in the status text, in columns.
const (
	textWidth   = 80
	nameWidth   = 20
	centreWidth = 7
	maxCentres  = 5 // data centres that fit next to a pool's counts
)

// ANSI sequences, used on a terminal only.
const (
	ansiBold   = "\x1b[1m"
	ansiYellow = "\x1b[33m"
	ansiReset  = "\x1b[0m"
)

func (t *tool) printOverview(o operator.Overview) {
	ready := 0
	for _, d := range o.Daemons {
		if d.Ready {
			ready++
		}
	}
	t.printLine("", "revision %d, %d of %d daemons ready, log head %d", o.Revision, ready, len(o.Daemons), o.Head)
	t.printDaemons(o)
	t.printPools(o)
	t.printTeams(o)
	for _, w := range o.Waves {
		t.printLine("", "wave %s: %s", w.Wave, strings.Join(w.Instances, " "))
	}
	for _, h := range o.Hints {
		t.printLine(ansiYellow, "! %s", h)
	}
}

func (t *tool) printDaemons(o operator.Overview) {
	t.printLine(ansiBold, "%-*s %-12s %-6s %9s %8s %9s", nameWidth, "DAEMON", "DATA CENTRE", "READY", "REVISION", "LAG", "LOG AGE")
	for _, d := range o.Daemons {
		if d.Error != "" {
			t.printLine("", "%-*s %-12s no answer", nameWidth, truncate(d.Instance, nameWidth), truncate(d.DataCentre, 12))
			continue
		}
		age := time.Duration(d.LogAgeMS) * time.Millisecond
		t.printLine("", "%-*s %-12s %-6s %9d %8d %8.1fs", nameWidth, truncate(d.Instance, nameWidth), truncate(d.DataCentre, 12),
			yesNo(d.Ready), d.Revision, d.Lag, age.Seconds())
	}
}

func (t *tool) printPools(o operator.Overview) {
	centres := o.DataCentres[:min(len(o.DataCentres), maxCentres)]
	head := fmt.Sprintf("%-*s %8s %8s %8s", nameWidth, "POOL", "SERVING", "DRAINING", "REBOOT")
	for _, dc := range centres {
		head += fmt.Sprintf(" %*s", centreWidth-1, truncate(dc.Name, centreWidth-1))
	}
	t.printLine(ansiBold, "%s", head)
	for _, p := range o.Pools {
		row := fmt.Sprintf("%-*s %8d %8d %8d", nameWidth, truncate(p.Pool, nameWidth), p.Serving, p.Draining, p.Rebooting)
		for _, dc := range centres {
			row += fmt.Sprintf(" %*d", centreWidth-1, p.ByDataCentre[dc.Name])
		}
		t.printLine("", "%s", row)
	}
}

func (t *tool) printTeams(o operator.Overview) {
	t.printLine(ansiBold, "%-*s %8s %8s %8s %8s %8s", nameWidth, "TEAM", "SHARE", "LIMIT", "GRANTED", "RUNNING", "QUEUED")
	for _, team := range o.Teams {
		t.printLine("", "%-*s %8.4g %8d %8d %8d %8d", nameWidth, truncate(team.Name, nameWidth),
			team.Share, team.Limit, team.Granted, team.Running, team.Waiting)
	}
}

// printLine prints one line in a style, wrapped to textWidth.
func (t *tool) printLine(style, format string, args ...any) {
	for _, part := range wrap(fmt.Sprintf(format, args...), textWidth) {
		if style != "" && isTerminal(t.out) {
			part = style + part + ansiReset
		}
		t.printf("%s\n", part)
	}
}

// wrap breaks a text at spaces into lines of at most width runes.
func wrap(text string, width int) []string {
	var lines []string
	rest := []rune(text)
	for len(rest) > width {
		at := width
		for i := width; i > width/2; i-- {
			if rest[i] == ' ' {
				at = i
				break
			}
		}
		lines = append(lines, string(rest[:at]))
		rest = []rune("  " + strings.TrimLeft(string(rest[at:]), " "))
	}
	return append(lines, string(rest))
}

// truncate shortens a text to width runes, with an ellipsis at the end.
func truncate(s string, width int) string {
	if r := []rune(s); len(r) > width {
		return string(r[:width-1]) + "…"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// isTerminal reports whether out is a terminal on which colour may be used.
func isTerminal(out any) bool {
	f, ok := out.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
