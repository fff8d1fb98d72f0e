package beryltide_test

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	module   = "github.com/beryltide/beryltide/"
	standin  = module + "internal/standin"
	maxLines = 400
)

// aggregates hold rules and import no I/O, not even through others.
var aggregates = []string{
	"burn", "catalog", "configuration", "controlstate", "credit", "datacentre",
	"dispatch", "fleet", "forecast", "job", "member", "planner", "quota", "rebalance", "record",
	"schedule", "team", "verdict",
}

// inputOutput are the packages that aggregates must not reach.
var inputOutput = []string{
	"net", "net/http", "net/rpc", "os", "os/exec", "syscall", "log",
	module + "internal/platform", "go.uber.org/zap",
}

// forbidden are packages that no product package may import.
var forbidden = []string{"os/exec", "net/http/httputil", standin}

// source is what the tests know of one directory's package.
type source struct {
	imports  map[string]bool
	comment  bool
	longFile string
}

// sources reads all Go files that aren't tests, by directory.
func sources(t *testing.T) map[string]*source {
	t.Helper()
	all := map[string]*source{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		dir := filepath.ToSlash(filepath.Dir(path))
		if all[dir] == nil {
			all[dir] = &source{imports: map[string]bool{}}
		}
		return all[dir].read(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (s *source) read(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ImportsOnly|parser.ParseComments)
	if err != nil {
		return err
	}
	for _, i := range f.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			return err
		}
		s.imports[name] = true
	}
	s.comment = s.comment || f.Doc != nil
	if bytes.Count(data, []byte("\n")) > maxLines {
		s.longFile = path
	}
	return nil
}

// reach returns all packages that a directory's package imports, through
// others of this module too.
func reach(all map[string]*source, dir string, seen map[string]bool) map[string]bool {
	for name := range all[dir].imports {
		if seen[name] {
			continue
		}
		seen[name] = true
		if own, ok := strings.CutPrefix(name, module); ok && all[own] != nil {
			reach(all, own, seen)
		}
	}
	return seen
}

func TestAggregatesImportNoIO(t *testing.T) {
	all := sources(t)
	for _, name := range aggregates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := "internal/" + name
			is.True(all[dir] != nil) // the package exists
			reached := reach(all, dir, map[string]bool{})
			for _, io := range inputOutput {
				if reached[io] {
					t.Errorf("%s reaches %s", dir, io)
				}
			}
		})
	}
}

func TestProductImports(t *testing.T) {
	for dir, s := range sources(t) {
		if dir == "internal/standin" || dir == "cmd/standin" || strings.HasPrefix(dir, "tools/") {
			continue
		}
		for _, name := range forbidden {
			if s.imports[name] {
				t.Errorf("%s imports %s", dir, name)
			}
		}
	}
}

// The users' platform is spoken in one folder, which only programs and tests
// may import.
func TestOnlyProgramsImportThePlatform(t *testing.T) {
	for dir, s := range sources(t) {
		if s.imports[module+"platform"] && !strings.HasPrefix(dir, "cmd/") && !strings.HasPrefix(dir, "tools/") {
			t.Errorf("%s imports platform", dir)
		}
	}
}

func TestStandinImportsNothingOfTheProduct(t *testing.T) {
	for name := range sources(t)["internal/standin"].imports {
		if strings.HasPrefix(name, module) {
			t.Errorf("the stand-in imports %s", name)
		}
	}
}

func TestPackagesAreDescribedAndFilesShort(t *testing.T) {
	for dir, s := range sources(t) {
		if !s.comment {
			t.Errorf("%s has no package comment", dir)
		}
		if s.longFile != "" {
			t.Errorf("%s has over %d lines", s.longFile, maxLines)
		}
	}
}
