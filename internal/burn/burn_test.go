package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

var (
	now      = time.Unix(1_800_000_000, 0)
	services = map[string]configuration.Service{"engraving": {AvailabilityObjective: 0.99}}
)

func anyService(string) bool { return true }

func burnRecord(ago time.Duration, good, bad int64) record.Burn {
	at := now.Add(-ago).Unix()
	return record.Burn{Start: at - 60, End: at, Counts: []record.BurnCount{
		{Service: "engraving", DataCentre: "trd1", Pool: "engraving", Good: good, Refused: bad},
	}}
}

func TestClassify(t *testing.T) {
	cases := []struct {
		name   string
		status int
		took   time.Duration
		err    error
		want   Outcome
		counts bool
	}{
		{"good", 200, time.Second, nil, Good, true},
		{"task reports a fault of the caller", 422, time.Second, nil, Good, true},
		{"late", 200, 3 * time.Second, nil, Late, true},
		{"failed", 500, time.Second, nil, Failed, true},
		{"refused", 0, 0, verdict.New(verdict.NotRun, verdict.CodeQueueFull, ""), Refused, true},
		{"timed out", 0, 0, verdict.New(verdict.NotRun, verdict.CodeDeadline, ""), TimedOut, true},
		{"may have run", 0, 0, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, ""), MayHaveRun, true},
		{"without a verdict", 0, 0, errors.New("x"), MayHaveRun, true},
		{"key withdrawn", 0, 0, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, ""), Good, false},
		{"caller gone", 0, 0, verdict.New(verdict.NotRun, verdict.CodeCancelled, ""), Good, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, counts := Classify(c.status, c.took, 2*time.Second, c.err)
			is.Equal(counts, c.counts)
			is.Equal(got, c.want)
		})
	}
}

func TestReportWindowsAndAlerts(t *testing.T) {
	cases := []struct {
		name    string
		records []record.Burn
		rates   [4]float64 // 5m, 1h, 6h, 3d
		alerts  []Severity
	}{
		{"calm", []record.Burn{burnRecord(time.Minute, 1000, 0)}, [4]float64{}, nil},
		{"burning now", []record.Burn{burnRecord(time.Minute, 80, 20)}, [4]float64{20, 20, 20, 20}, []Severity{Page, Page, Ticket}},
		{"burnt two hours ago", []record.Burn{burnRecord(2*time.Hour, 80, 20), burnRecord(time.Minute, 100, 0)}, [4]float64{0, 0, 10, 10}, []Severity{Ticket}},
		{"smoulders", []record.Burn{burnRecord(time.Minute, 98, 2), burnRecord(5*time.Hour, 98, 2)}, [4]float64{2, 2, 2, 2}, []Severity{Ticket}},
		{"older than all windows", []record.Burn{burnRecord(100*time.Hour, 0, 100)}, [4]float64{}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			for _, r := range c.records {
				h = h.Add(r, anyService)
			}
			s := NewReport(h, services, now).Services[0]
			for i, w := range s.Windows {
				is.True(w.Rate > c.rates[i]-1e-6 && w.Rate < c.rates[i]+1e-6)
			}
			var severities []Severity
			for _, a := range s.Alerts {
				severities = append(severities, a.Severity)
			}
			is.Equal(severities, c.alerts)
		})
	}
}

func TestHistoryIsBoundedDespiteAWrongClock(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	for m := 4 * 24 * 60; m >= 0; m-- {
		h = h.Add(burnRecord(time.Duration(m)*time.Minute, 1, 0), anyService)
	}
	h = h.Add(burnRecord(-1000*time.Hour, 0, 7), anyService)
	s := h.State()
	is.Equal(len(s.Services[0].Minutes), resolutions[minutes].maxBuckets)
	is.Equal(len(s.Services[0].TenMinutes), resolutions[tenMinutes].maxBuckets)
	is.Equal(len(s.Services[0].Hours), resolutions[hours].maxBuckets)
	report := NewReport(h, services, now).Services[0]
	is.Equal(report.Counts.Bad(), int64(0)) // counts from the future are left out
	is.True(report.Counts.Good >= 72*60)    // all of the last three days are there
	is.Equal(Restore(s).State(), s)
}

func TestTakeReturnsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	c := NewCounter(now)
	_, ok := c.Take(now)
	is.True(!ok)
	c.Observe(Source{"b", "trd1", "p"}, Late)
	c.Observe(Source{"a", "trd1", "p"}, Good)
	c.Observe(Source{"a", "trd2", "p"}, Good)
	c.Observe(Source{"a", "trd2", "p"}, Failed)
	is.Equal(len(c.Pending()), 3)
	b, ok := c.Take(now.Add(time.Minute))
	is.True(ok)
	is.Equal(b, record.Burn{Start: now.Unix(), End: now.Unix() + 60, Counts: []record.BurnCount{
		{Service: "a", Good: 2},
		{Service: "a", DataCentre: "trd2", Pool: "p", Failed: 1},
		{Service: "b", DataCentre: "trd1", Pool: "p", Late: 1},
	}})
	is.Equal(len(c.Pending()), 0)
}

// A record names at most maxSources sources, the ones with most bad answers, and
// counts the requests of all others in their service's own count.
func TestRecordsNameABoundedNumberOfSources(t *testing.T) {
	is := is.New(t)
	c := NewCounter(now)
	const sources = 10 * maxSources
	for i := range sources {
		s := Source{Service: "a", Pool: fmt.Sprint(i)}
		c.Observe(s, Refused)
		if i == sources-1 {
			c.Observe(s, Refused)
		}
	}
	b, _ := c.Take(now)
	is.Equal(len(b.Counts), maxSources+1)
	var sum Counts
	worst := false
	for _, bc := range b.Counts {
		sum = sum.Plus(countsFrom(bc))
		worst = worst || bc.Refused == 2 && bc.Pool == fmt.Sprint(sources-1)
	}
	is.Equal(sum, Counts{Refused: sources + 1})
	is.True(worst)
}

// A daemon's answer may name a service without hourly counts: the report of the
// command-line tool ended in a panic (index out of range).
func TestReportOfAServiceWithoutHours(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	h := Restore(State{Services: []ServiceState{{Service: "proofing"}}})
	r := NewReport(h, map[string]configuration.Service{"proofing": {AvailabilityObjective: 0.99}}, now)
	is.Equal(len(r.Services), 1)
	is.Equal(len(r.Services[0].Hours), 0)
}
