package main

import (
	"context"
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/configcheck"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/operator"
)

// Names of the flags of check.
const (
	flagAgainst = "against"
	flagJSON    = "json"
)

// checkResult is the machine-readable result of check.
type checkResult struct {
	// Digest is empty for an invalid configuration.
	Digest   string                `json:"digest,omitempty"`
	Findings []configcheck.Finding `json:"findings"`
	// Against is left out without --against, if the configuration is invalid, and if
	// the other configuration couldn't be read.
	Against *comparison `json:"against,omitempty"`
}

// comparison holds the differences from another configuration.
type comparison struct {
	Source string `json:"source"`
	// Base is the revision that is active at the daemon; 0 for files.
	Base        uint64                `json:"base,omitempty"`
	Differences []operator.Difference `json:"differences"`
}

func (t *tool) checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "report errors, entries without effect and contradictions in a configuration",
		ArgsUsage:    "FILE...",
		Description:  "Each FILE is a configuration file or a directory of them; all together are one\nconfiguration. Exit code 0: no findings; 1: findings; 2: the check couldn't be\ncompleted. Differences aren't findings.",
		OnUsageError: usageError,
		Action:       t.check,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAgainst, Usage: "show the differences from the configuration of `HOST:PORT`, a daemon's operations address, or of a directory"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON, as --output json does"},
		},
	}
}

func (t *tool) check(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool(flagJSON) {
		if err := cmd.Set(flagOutput, outputJSON); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
	}
	doc, result, err := checkFiles(cmd.Args().Slice())
	if err != nil {
		return undecided(err)
	}
	var againstErr error
	if cmd.IsSet(flagAgainst) && doc != nil {
		result.Against, againstErr = t.compare(ctx, cmd.String(flagAgainst), doc)
	}
	if err := t.print(cmd, result, func() { t.printCheck(result) }); err != nil {
		return undecided(err)
	}
	switch {
	case againstErr != nil:
		return undecided(againstErr)
	case len(result.Findings) > 0:
		return errFindings
	default:
		return nil
	}
}

// undecided returns an error for which the exit code isn't that of findings.
func undecided(err error) error { return errors.Wrap(errUndecided, err.Error()) }

// checkFiles checks the configuration that files and directories hold together. The
// document is nil if it is invalid.
func checkFiles(names []string) (*configuration.Document, checkResult, error) {
	result := checkResult{Findings: []configcheck.Finding{}}
	if len(names) == 0 {
		return nil, result, errors.New("want configuration files or directories of them")
	}
	var files []configuration.File
	for _, name := range names {
		more, err := readFilesOf(name)
		if err != nil {
			return nil, result, err
		}
		files = append(files, more...)
	}
	doc, origins, err := configuration.ComposeWithOrigins(files)
	var faults configuration.Faults
	switch {
	case errors.As(err, &faults):
		result.Findings = configcheck.FromFaults(faults)
		return nil, result, nil
	case err != nil:
		return nil, result, err
	}
	result.Digest = doc.Digest()
	result.Findings = append(result.Findings, configcheck.Check(doc, origins)...)
	return doc, result, nil
}

// readFilesOf reads a file, or the JSON files of a directory.
func readFilesOf(name string) ([]configuration.File, error) {
	info, err := os.Stat(name)
	switch {
	case err != nil:
		return nil, errors.WithStack(err)
	case info.IsDir():
		return readDirectory(name)
	default:
		return readFiles([]string{name})
	}
}

// compare returns the differences between another configuration and doc. A source
// that exists as a file or directory is read as such, any other is asked as a daemon.
func (t *tool) compare(ctx context.Context, source string, doc *configuration.Document) (*comparison, error) {
	c := &comparison{Source: source, Differences: []operator.Difference{}}
	active, err := t.activeDocument(ctx, c)
	if err != nil {
		return nil, errors.Wrapf(err, "--%s %s", flagAgainst, source)
	}
	c.Differences = append(c.Differences, operator.Describe(active, doc)...)
	return c, nil
}

// activeDocument reads the configuration of the comparison's source and sets its base.
func (t *tool) activeDocument(ctx context.Context, c *comparison) (*configuration.Document, error) {
	if _, err := os.Stat(c.Source); err == nil {
		files, err := readFilesOf(c.Source)
		if err != nil {
			return nil, err
		}
		return configuration.Compose(files)
	}
	if _, _, err := net.SplitHostPort(c.Source); err != nil {
		return nil, errors.New("neither a directory nor HOST:PORT")
	}
	active, err := operator.FetchConfiguration(ctx, t.client, c.Source)
	c.Base = active.Revision
	return active.Document, err
}

func (t *tool) printCheck(r checkResult) {
	for _, f := range r.Findings {
		t.printf("%s\n", f)
	}
	t.printf("%d findings\n", len(r.Findings))
	if r.Digest == "" {
		t.printf("not checked further, nor compared: the configuration is invalid\n")
	}
	if r.Against == nil {
		return
	}
	t.printf("against %s", r.Against.Source)
	if r.Against.Base > 0 {
		t.printf(", revision %d", r.Against.Base)
	}
	t.printf(": %d differences\n", len(r.Against.Differences))
	for _, d := range r.Against.Differences {
		t.printf("%s\n", d)
	}
}
