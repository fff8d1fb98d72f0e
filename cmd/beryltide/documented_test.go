package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	daemonsettings "github.com/beryltide/beryltide/internal/settings"
	"github.com/beryltide/beryltide/internal/standin"
)

const (
	operationsPage = "../../docs/OPERATIONS.md"
	exampleDir     = "examples/fjordmerke"
)

// codeBlocks returns the contents of a page's code blocks of one language.
func codeBlocks(t *testing.T, page, language string) []string {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, part := range strings.Split(string(data), "\n```"+language+"\n")[1:] {
		body, _, _ := strings.Cut(part, "\n```")
		found = append(found, body)
	}
	return found
}

// workspace changes into a temporary directory with a copy of the example
// configuration, and starts a log that the tool uses.
func workspace(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(filepath.Join(dir, exampleDir), os.DirFS("../../"+exampleDir)); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(standin.NewLog(0))
	t.Cleanup(server.Close)
	t.Setenv("BERYLTIDE_LOG", server.URL)
	t.Chdir(dir)
}

func beryltide(t *testing.T, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if code := run(t.Context(), append([]string{"beryltide"}, args...), &out, &errs); code != 0 {
		t.Fatalf("beryltide %s: exit %d: %s", strings.Join(args, " "), code, errs.String())
	}
	return out.String()
}

func TestDocumentedCommandsRun(t *testing.T) {
	is := is.New(t)
	commands := codeBlocks(t, operationsPage, "console")
	is.True(len(commands) >= 4) // the page has commands
	workspace(t)
	for _, block := range commands {
		for line := range strings.Lines(block) {
			args, ok := strings.CutPrefix(strings.TrimSpace(line), "$ beryltide ")
			is.True(ok) // a console line is a command of the tool
			beryltide(t, strings.Fields(args)...)
		}
	}
}

// Each documented change of a file must give the documented difference and be
// accepted.
func TestDocumentedTasks(t *testing.T) {
	edits := []struct{ file, from, to string }{
		{"data-centres.json", "\"trd2\": {\n      \"region\": \"Trondheim\",\n      \"inService\": true", "\"trd2\": {\n      \"region\": \"Trondheim\",\n      \"inService\": false"},
		{"keys.json", ",\n    \"breeders-1\": {", ""},
		{"teams.json", `"limit": 160`, `"limit": 200`},
		{"maintenance.json", `"paused": false`, `"paused": true`},
	}
	is := is.New(t)
	documented := codeBlocks(t, operationsPage, "diff")
	is.Equal(len(documented), len(edits))
	workspace(t)
	beryltide(t, "apply", exampleDir)
	for i, e := range edits {
		file := filepath.Join(exampleDir, e.file)
		data, err := os.ReadFile(file)
		is.NoErr(err)
		before, after, ok := strings.Cut(string(data), e.from)
		is.True(ok) // the file holds the text to be replaced
		if e.to == "" {
			_, after, _ = strings.Cut(after, "}") // the whole entry is removed
		}
		is.NoErr(os.WriteFile(file, []byte(before+e.to+after), 0o600))
		_, difference, _ := strings.Cut(beryltide(t, "diff", exampleDir), "\n")
		is.Equal(strings.TrimSpace(difference), documented[i])
		beryltide(t, "apply", exampleDir)
	}
}

func TestDocumentedSettingsAreValid(t *testing.T) {
	is := is.New(t)
	_, err := daemonsettings.Parse("OPERATIONS.md", []byte(codeBlocks(t, operationsPage, "json")[0]))
	is.NoErr(err)
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"unknown flag", []string{"apply", "--no-such"}, exitInvalid},
		{"no directory", []string{"apply"}, exitInvalid},
		{"empty directory", []string{"validate", "."}, exitInvalid},
		{"bad file", []string{"validate", "bad"}, exitInvalid},
		{"another base", []string{"apply", "--base", "7", exampleDir}, exitStale},
		{"unknown format", []string{"-o", "xml", "status"}, exitInvalid},
		{"log unreachable", []string{"--log", "http://127.0.0.1:1", "status"}, exitFailure},
	}
	workspace(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.MkdirAll("bad", 0o700))
			is.NoErr(os.WriteFile("bad/teams.json", []byte(`{"teams": {"a": {"share": "x"}}}`), 0o600))
			var out, errs bytes.Buffer
			is.Equal(run(t.Context(), append([]string{"beryltide"}, c.args...), &out, &errs), c.want)
			is.True(errs.Len() > 0) // the error is printed
		})
	}
}
