package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/explain"
)

// explainCommand returns the command that prints the lines of the daemons' logs
// about one job.
func (t *tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "sort the log lines about one job and show where its time went",
		ArgsUsage: "ID [FILE ...]; without files, standard input is read",
		Commands:  []*cli.Command{t.explainRouteCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return errors.Wrap(errUsage, "explain: want the job's ID")
			}
			return t.explain(cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

func (t *tool) explain(id string, files []string) error {
	var lines []explain.Line
	if len(files) == 0 {
		found, err := explain.Read(os.Stdin, "stdin", id)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range files {
		found, err := readLog(name, id)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	return explain.Write(t.out, lines)
}

func readLog(name, id string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file, name, id)
}
