package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/logclient"
)

// Names of flags.
const (
	flagSettings = "settings"
	flagLog      = "log"
	flagOutput   = "output"
)

// settings are the contents of the tool's settings file. Flags override them.
type settings struct {
	// Log is the URL of the platform's log.
	Log string `json:"log"`
	// Operator names the operator in the records of applied changes.
	Operator string `json:"operator"`
}

func readSettings(cmd *cli.Command) (settings, error) {
	var s settings
	if file := cmd.String(flagSettings); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return s, errors.Wrap(errUsage, err.Error())
		}
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&s); err != nil {
			return s, errors.Wrapf(errUsage, "%s: %v", file, err)
		}
	}
	if url := cmd.String(flagLog); url != "" {
		s.Log = url
	}
	return s, nil
}

// openLog returns a client of the log that the command line or the settings file
// names.
func openLog(cmd *cli.Command) (platform.Log, settings, error) {
	s, err := readSettings(cmd)
	if err != nil {
		return nil, s, err
	}
	if s.Log == "" {
		return nil, s, errors.Wrap(errUsage, "the platform's log isn't set: use --log, BERYLTIDE_LOG or a settings file")
	}
	return logclient.New(s.Log, http.DefaultTransport), s, nil
}

// readDocument reads the directory that is the command's only argument, and
// composes its JSON files into one document.
func readDocument(cmd *cli.Command) (*configuration.Document, error) {
	if cmd.Args().Len() != 1 {
		return nil, errors.Wrap(errUsage, "want exactly one directory of configuration files")
	}
	files, err := readDirectory(cmd.Args().First())
	if err != nil {
		return nil, err
	}
	return configuration.Compose(files)
}

// readDirectory reads the JSON files of a directory, sorted by name.
func readDirectory(dir string) ([]configuration.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	if len(names) == 0 {
		return nil, errors.Wrapf(errUsage, "%s contains no .json files", dir)
	}
	slices.Sort(names)
	return readFiles(names)
}

func readFiles(names []string) ([]configuration.File, error) {
	files := make([]configuration.File, len(names))
	for i, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		files[i] = configuration.File{Name: name, Data: data}
	}
	return files, nil
}
