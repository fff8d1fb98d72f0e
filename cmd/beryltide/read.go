package main

import (
	"context"
	"crypto/rand"
	"runtime"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/replay"
)

// Names of the flags of key new.
const (
	flagTeam = "team"
	flagName = "name"
)

// validateResult is the machine-readable result of validate.
type validateResult struct {
	Digest string `json:"digest"`
}

// diffResult is the machine-readable result of diff.
type diffResult struct {
	// Base is the active revision, which the differences are relative to.
	Base        uint64                `json:"base"`
	Differences []operator.Difference `json:"differences"`
}

// keyResult is the machine-readable result of key new.
type keyResult struct {
	Secret string                       `json:"secret"`
	Keys   map[string]configuration.Key `json:"keys"`
}

// versionResult is the machine-readable result of version.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (t *tool) validateCommand() *cli.Command {
	return &cli.Command{
		Name:         "validate",
		Usage:        "check the configuration of a directory",
		ArgsUsage:    "DIR",
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			doc, err := readDocument(cmd)
			if err != nil {
				return err
			}
			r := validateResult{Digest: doc.Digest()}
			return t.print(cmd, r, func() { t.printf("valid, digest %s\n", r.Digest) })
		},
	}
}

func (t *tool) diffCommand() *cli.Command {
	return &cli.Command{
		Name:         "diff",
		Usage:        "show what apply would change",
		ArgsUsage:    "DIR",
		OnUsageError: usageError,
		Action:       t.diff,
	}
}

func (t *tool) diff(ctx context.Context, cmd *cli.Command) error {
	doc, err := readDocument(cmd)
	if err != nil {
		return err
	}
	log, _, err := openLog(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	state, err := replay.State(ctx, log)
	if err != nil {
		return err
	}
	snap := state.Snapshot()
	r := diffResult{Base: snap.Revision, Differences: operator.Describe(snap.Document, doc)}
	return t.print(cmd, r, func() {
		t.printf("base revision %d, %d differences\n", r.Base, len(r.Differences))
		for _, d := range r.Differences {
			t.printf("%s\n", d)
		}
	})
}

func (t *tool) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make keys",
		Commands: []*cli.Command{{
			Name:         "new",
			Usage:        "make a secret and the entry for its hash",
			OnUsageError: usageError,
			Action:       t.newKey,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagTeam, Required: true, Usage: "`TEAM` that the key authenticates"},
				&cli.StringFlag{Name: flagName, Required: true, Usage: "`NAME` of the key's entry"},
			},
		}},
	}
}

// newKey prints a new secret, which isn't stored anywhere, and the configuration
// entry with its hash.
func (t *tool) newKey(_ context.Context, cmd *cli.Command) error {
	secret := rand.Text()
	name := cmd.String(flagName)
	key := configuration.Key{Team: cmd.String(flagTeam), Hash: configuration.HexKeyHash(secret)}
	r := keyResult{Secret: secret, Keys: map[string]configuration.Key{name: key}}
	return t.print(cmd, r, func() {
		t.printf("secret, for the caller only: %s\n", secret)
		t.printf("entry for a configuration file:\n")
		t.printf("{\"keys\": {%q: {\"team\": %q, \"hash\": %q}}}\n", name, key.Team, key.Hash)
	})
}

func (t *tool) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the program contains no build information")
			}
			r := versionResult{Version: info.Main.Version, Go: runtime.Version()}
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					r.Revision = s.Value
				}
			}
			return t.print(cmd, r, func() { t.printf("beryltide %s %s %s\n", r.Version, r.Revision, r.Go) })
		},
	}
}
