package main

import (
	"encoding/binary"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// The daemons of a soak show a time of day that is off by a step, as a machine does whose
// clock was set. Only time.Now of these processes changes: the build replaces it by an
// overlay, and neither the product nor the machine's clock is touched. Monotonic times go on.
// A process reads its steps, whole seconds as 8 bytes each, from stepsFD, the first one
// before its main function.
const (
	stepsFD = 3
	// steppedNow is added to package time, whose own Now is renamed.
	steppedNow = `package time

import "sync/atomic"

var clockStep atomic.Int64

// SetClockStep sets by how many seconds the time of day is off.
func SetClockStep(seconds int64) { clockStep.Store(seconds) }

func Now() Time {
	t := unsteppedNow()
	t.addSec(clockStep.Load())
	return t
}
`
	// readSteps is added to the daemon's main package.
	readSteps = `package main

import (
	"encoding/binary"
	"os"
	"time"
)

func init() {
	steps := os.NewFile(3, "steps")
	read := func() bool {
		var seconds int64
		err := binary.Read(steps, binary.LittleEndian, &seconds)
		if err == nil {
			time.SetClockStep(seconds)
		}
		return err == nil
	}
	if read() {
		go func() {
			for read() {
			}
		}()
	}
}
`
)

// buildDaemon builds the daemon of a source tree with a time of day that can be stepped.
func buildDaemon(source, out string) error {
	dir, err := os.MkdirTemp("", "soak-overlay")
	if err != nil {
		return errors.Wrap(err, "overlay")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	overlay, err := writeOverlay(source, dir)
	if err != nil {
		return err
	}
	if out, err = filepath.Abs(out); err != nil {
		return errors.Wrap(err, "build")
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-o", out, "./cmd/beryltided")
	build.Dir = source
	output, err := build.CombinedOutput()
	return errors.Wrapf(err, "build: %s", output)
}

// writeOverlay writes the overlay for a source tree, and returns its file.
func writeOverlay(source, dir string) (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", errors.Wrap(err, "overlay")
	}
	timeDir := filepath.Join(strings.TrimSpace(string(root)), "src", "time")
	original := filepath.Join(timeDir, "time.go")
	renamed, err := renameNow(original)
	if err != nil {
		return "", err
	}
	if source, err = filepath.Abs(source); err != nil {
		return "", errors.Wrap(err, "overlay")
	}
	replace := map[string]string{}
	for target, content := range map[string][]byte{
		original:                               renamed,
		filepath.Join(timeDir, "soak_step.go"): []byte(steppedNow),
		filepath.Join(source, "cmd", "beryltided", "soak_steps.go"): []byte(readSteps),
	} {
		file := filepath.Join(dir, filepath.Base(target))
		if err := os.WriteFile(file, content, 0o600); err != nil {
			return "", errors.Wrap(err, "overlay")
		}
		replace[target] = file
	}
	data, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", errors.Wrap(err, "overlay")
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, errors.Wrap(os.WriteFile(overlay, data, 0o600), "overlay")
}

// renameNow returns the source of package time with Now under another name.
func renameNow(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "overlay")
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, data, 0)
	if err != nil {
		return nil, errors.Wrap(err, "overlay")
	}
	for _, d := range parsed.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && f.Name.Name == "Now" {
			at := files.Position(f.Name.Pos()).Offset
			return slices.Concat(data[:at], []byte("unsteppedNow"), data[at+len("Now"):]), nil
		}
	}
	return nil, errors.Errorf("overlay: no function Now in %s", file)
}

// setClock sets by how many seconds the process's time of day is off, also after a restart.
func (p *process) setClock(seconds int) {
	p.clockStep.Store(int64(seconds))
	if l := p.life.Load(); l != nil {
		l.step(int64(seconds))
	}
}

// step sends a step to the process. One that has ended doesn't read it.
func (l *life) step(seconds int64) {
	_ = binary.Write(l.steps, binary.LittleEndian, seconds)
}
