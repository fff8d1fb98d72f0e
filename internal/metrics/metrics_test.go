package metrics

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/beryltide/beryltide/internal/status"
)

const page = "../../docs/METRICS.md"

// documented returns the rows of the page's table.
func documented(t *testing.T) []Metric {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var rows []Metric
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(line, "|")
		if len(cells) < 6 || !strings.Contains(cells[1], "`") {
			continue
		}
		cell := func(i int) string { return strings.Trim(strings.TrimSpace(cells[i]), "`") }
		m := Metric{Name: cell(1), Kind: Kind(cell(2)), Unit: cell(3)}
		if tags := cell(4); tags != "" {
			m.Tags = strings.Split(tags, ", ")
		}
		rows = append(rows, m)
	}
	return rows
}

// The page, the list of metrics and the metrics that a recorder writes must be the
// same.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	is.Equal(documented(t), All())

	scope := tally.NewTestScope(prefix, nil)
	r := NewRecorder(scope)
	r.Request("engraving", "good", time.Millisecond)
	r.Status(status.Status{
		Instances: []status.Instance{{Pool: "engraving", Phase: "serving"}},
		Teams:     []status.Team{{Name: "vets"}},
		Control:   map[string]status.Bytes{"log": {}},
	})
	written := map[string][]string{}
	add := func(name string, tags map[string]string) {
		written[strings.ReplaceAll(name, ".", "_")] = slices.Sorted(maps.Keys(tags))
	}
	s := scope.Snapshot()
	for _, c := range s.Counters() {
		add(c.Name(), c.Tags())
	}
	for _, g := range s.Gauges() {
		add(g.Name(), g.Tags())
	}
	for _, h := range s.Histograms() {
		add(h.Name(), h.Tags())
	}
	listed := map[string][]string{}
	for _, m := range All() {
		listed[m.Name] = slices.Sorted(slices.Values(m.Tags))
	}
	is.Equal(written, listed)
}

func TestVanishedGaugesAreZero(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope(prefix, nil)
	r := NewRecorder(scope)
	r.Status(status.Status{Instances: []status.Instance{{Pool: "a", Phase: "draining"}}})
	r.Status(status.Status{})
	for _, g := range scope.Snapshot().Gauges() {
		if strings.HasSuffix(g.Name(), nameInstances) {
			is.Equal(g.Value(), 0.0)
		}
	}
}

// Tag values that differ only in a dash or an underscore must remain different.
func TestSimilarTagValuesStayDistinct(t *testing.T) {
	is := is.New(t)
	scope, page, closer := New()
	NewRecorder(scope).Status(status.Status{Teams: []status.Team{{Name: "a-b", Limit: 1}, {Name: "a_b", Limit: 2}}})
	is.NoErr(closer.Close()) // flushes
	rec := httptest.NewRecorder()
	page.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	is.True(strings.Contains(body, `beryltide_team_limit{team="a-b"} 1`))
	is.True(strings.Contains(body, `beryltide_team_limit{team="a_b"} 2`))
}

// BenchmarkStatusFullSize sets all gauges at the maximum size of the design.
func BenchmarkStatusFullSize(b *testing.B) {
	var s status.Status
	for i := range 3500 {
		s.Instances = append(s.Instances, status.Instance{Pool: fmt.Sprintf("pool-%03d", i%113), Phase: "serving"})
	}
	for i := range 430 {
		s.Teams = append(s.Teams, status.Team{Name: fmt.Sprintf("team-%03d", i), Limit: i})
	}
	scope, _, closer := New()
	defer closer.Close()
	r := NewRecorder(scope)
	for b.Loop() {
		r.Status(s)
	}
}
