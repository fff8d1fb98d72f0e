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

// aggregates are the packages with the rules of the system. They must not import
// a package of ioPackages, directly or indirectly.
var aggregates = []string{
	"bodybudget", "burn", "catalog", "configcheck", "configuration", "connlimit", "controlstate", "credit", "datacentre",
	"dispatch", "fairshare", "fleet", "forecast", "job", "jobbudget", "member", "planner", "quota", "rebalance", "record",
	"schedule", "shortage", "team", "verdict",
}

// ioPackages are the packages that do input or output.
var ioPackages = []string{
	"net", "net/http", "net/rpc", "os", "os/exec", "syscall", "log",
	module + "internal/platform", "go.uber.org/zap",
}

// forbiddenImports are packages that only tools and the program standin may
// import.
var forbiddenImports = []string{"os/exec", "net/http/httputil", standin}

// packageSource describes the non-test Go files of one directory: the packages
// that they import, whether one has a package comment, and the last file with
// over maxLines lines, if any.
type packageSource struct {
	imports      map[string]bool
	hasComment   bool
	overlongFile string
}

// packageSources reads all non-test Go files of the module, by directory.
func packageSources(t *testing.T) map[string]*packageSource {
	t.Helper()
	all := map[string]*packageSource{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		dir := filepath.ToSlash(filepath.Dir(path))
		if all[dir] == nil {
			all[dir] = &packageSource{imports: map[string]bool{}}
		}
		return all[dir].read(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (s *packageSource) read(path string) error {
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
	s.hasComment = s.hasComment || f.Doc != nil
	if bytes.Count(data, []byte("\n")) > maxLines {
		s.overlongFile = path
	}
	return nil
}

// reachable adds to seen, and returns, all packages that a directory's package
// imports, directly or through other packages of this module.
func reachable(all map[string]*packageSource, dir string, seen map[string]bool) map[string]bool {
	for name := range all[dir].imports {
		if seen[name] {
			continue
		}
		seen[name] = true
		if own, ok := strings.CutPrefix(name, module); ok && all[own] != nil {
			reachable(all, own, seen)
		}
	}
	return seen
}

func TestAggregatesImportNoIO(t *testing.T) {
	all := packageSources(t)
	for _, name := range aggregates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := "internal/" + name
			is.True(all[dir] != nil) // the package exists
			reached := reachable(all, dir, map[string]bool{})
			for _, io := range ioPackages {
				if reached[io] {
					t.Errorf("%s depends on %s", dir, io)
				}
			}
		})
	}
}

func TestProductImports(t *testing.T) {
	for dir, s := range packageSources(t) {
		if dir == "internal/standin" || dir == "cmd/standin" || strings.HasPrefix(dir, "tools/") {
			continue
		}
		for _, name := range forbiddenImports {
			if s.imports[name] {
				t.Errorf("%s imports %s", dir, name)
			}
		}
	}
}

// TestOnlyProgramsImportThePlatform guards the isolation of the users' platform:
// its API is used in the folder platform only, which no package but those of
// programs, tools and tests may import.
func TestOnlyProgramsImportThePlatform(t *testing.T) {
	for dir, s := range packageSources(t) {
		if s.imports[module+"platform"] && !strings.HasPrefix(dir, "cmd/") && !strings.HasPrefix(dir, "tools/") {
			t.Errorf("%s imports the platform package", dir)
		}
	}
}

func TestStandinImportsNothingOfTheProduct(t *testing.T) {
	for name := range packageSources(t)["internal/standin"].imports {
		if strings.HasPrefix(name, module) {
			t.Errorf("internal/standin imports %s", name)
		}
	}
}

func TestPackagesAreDescribedAndFilesShort(t *testing.T) {
	for dir, s := range packageSources(t) {
		if !s.hasComment {
			t.Errorf("%s has no package comment", dir)
		}
		if s.overlongFile != "" {
			t.Errorf("%s has over %d lines", s.overlongFile, maxLines)
		}
	}
}
