// Package explain sorts the log lines of all processes about one job by time,
// and summarizes where the job's time went. It reads the lines that package
// logging writes.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one line about the job.
type Line struct {
	At time.Time
	// Source is the process or file that the line comes from.
	Source string
	Event  string
	// Fields are the other fields except the level, in the line's order.
	Fields []Field
}

// Field is one key and its value.
type Field struct{ Key, Value string }

// value returns the value of a field, or "" without such a field.
func (l Line) value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read returns the lines of a log that are about a job. Lines of another format are
// skipped. The source of a line is the last word in front of its time, such as a
// name that a log collector adds, or otherwise the given name of the log.
func Read(r io.Reader, name, id string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		if l, ok := parse(scanner.Text(), name); ok && l.value("job") == id {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), name)
}

func parse(text, name string) (Line, bool) {
	l := Line{Source: name}
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return l, false
	}
	if prefix := strings.Fields(text[:begin]); len(prefix) > 0 {
		l.Source = prefix[len(prefix)-1]
	}
	d := logfmt.NewDecoder(strings.NewReader(text[begin:]))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		l.add(string(d.Key()), string(d.Value()))
	}
	return l, d.Err() == nil && l.Event != "" && !l.At.IsZero()
}

func (l *Line) add(key, value string) {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			l.At = at
		}
	case "event":
		l.Event = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
}

// Write sorts and prints the lines, each with the time since the first, and then
// the summary. Clocks that differ between machines can distort order and times.
func Write(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range lines {
		var fields []string
		for _, f := range l.Fields {
			if f.Key != "job" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%9.3f s  %-14s %-22s %s\n", l.At.Sub(lines[0].At).Seconds(), l.Source, l.Event, strings.Join(fields, " ")); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	_, err := fmt.Fprintln(w, Summary(lines))
	return errors.Wrap(err, "write")
}

// Summary returns one line on where the job's time went. The lines must be in order
// of time.
func Summary(lines []Line) string {
	if len(lines) == 0 {
		return "no line is about this job"
	}
	accepted, started, ended := first(lines, "job.accepted"), first(lines, "job.first_start"), finalState(lines)
	var parts []string
	switch {
	case accepted == nil && first(lines, "request.refused") != nil:
		parts = append(parts, "refused: "+first(lines, "request.refused").value("reason"))
	case accepted != nil && started != nil:
		parts = append(parts, fmt.Sprintf("waited %s for its first start", elapsed(accepted, started)))
	case accepted != nil:
		parts = append(parts, "accepted, no start seen")
	}
	if waits := first(lines, "job.waits"); waits != nil {
		parts = append(parts, "had to wait for "+waits.value("reason"))
	}
	if behind := last(lines, "job.put_behind"); behind != nil {
		parts = append(parts, "put behind other jobs: "+behind.value("reason"))
	}
	if started != nil && ended != nil {
		parts = append(parts, fmt.Sprintf("%s after %s at work", ended.value("state"), elapsed(started, ended)))
	}
	if failedRuns := count(lines, "run.ended"); failedRuns > 0 {
		parts = append(parts, fmt.Sprintf("%d runs ended without being done", failedRuns))
	}
	if owners := countEpochs(lines); owners > 1 {
		parts = append(parts, fmt.Sprintf("%d owners in turn", owners))
	}
	return strings.Join(parts, "; ")
}

func elapsed(from, to *Line) time.Duration { return to.At.Sub(from.At).Round(time.Millisecond) }

// first returns the first line of an event, or nil.
func first(lines []Line, event string) *Line {
	for i := range lines {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}

// last returns the last line of an event, or nil.
func last(lines []Line, event string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}

// finalState returns the line of the job's final state, or nil.
func finalState(lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == "job.state" && lines[i].value("state") != "running" {
			return &lines[i]
		}
	}
	return nil
}

func count(lines []Line, event string) int {
	n := 0
	for _, l := range lines {
		if l.Event == event {
			n++
		}
	}
	return n
}

// countEpochs returns the number of epochs, and so of owners, in the lines.
func countEpochs(lines []Line) int {
	seen := map[string]bool{}
	for _, l := range lines {
		if epoch := l.value("epoch"); epoch != "" {
			seen[epoch] = true
		}
	}
	return len(seen)
}
