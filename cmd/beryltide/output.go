package main

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// print writes v as JSON if the command line selects it, and otherwise calls text
// to write the text form.
func (t *tool) print(cmd *cli.Command, v any, text func()) error {
	switch format := cmd.String(flagOutput); format {
	case outputText:
		text()
		return nil
	case outputJSON:
		enc := json.NewEncoder(t.out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(v), "write output")
	default:
		return errors.Wrapf(errUsage, "output format %q is not text or json", format)
	}
}

func (t *tool) printf(format string, args ...any) { fmt.Fprintf(t.out, format, args...) }
