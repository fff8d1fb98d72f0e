package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Window is a period up to now over which a burn rate is computed.
type Window struct {
	Name   string
	Length time.Duration
	// resolution is the index of the resolution whose buckets are summed.
	resolution int
}

// windows are the windows of a report, from short to long.
var windows = []Window{
	{"5m", 5 * time.Minute, minutes},
	{"1h", time.Hour, tenMinutes},
	{"6h", 6 * time.Hour, tenMinutes},
	{"3d", 72 * time.Hour, hours},
}

// budgetWindow is the window to which the error budget applies.
const budgetWindow = "3d"

// Severity is the kind of reaction that an alert requires.
type Severity string

// Severities of alerts.
const (
	// Page requires an operator immediately.
	Page Severity = "page"
	// Ticket requires work within days.
	Ticket Severity = "ticket"
)

// alertRule raises an alert if the burn rates of two windows reach a threshold.
// The long window shows that the burn is significant, the short one that it
// continues.
type alertRule struct {
	long, short string
	threshold   float64
	severity    Severity
}

var alertRules = []alertRule{
	{"1h", "5m", 14.4, Page},
	{"6h", "1h", 6, Page},
	{"3d", "6h", 1, Ticket},
}

// Report is the burn of all services.
type Report struct {
	// At is the time of the report in Unix seconds.
	At       int64           `json:"at"`
	Services []ServiceReport `json:"services"`
}

// ServiceReport is the burn of one service.
type ServiceReport struct {
	Service   string  `json:"service"`
	Objective float64 `json:"objective"`
	// LatencyObjective is in milliseconds.
	LatencyObjective int64 `json:"latencyObjectiveMs"`
	// Since is the start of the oldest counts in Unix seconds, or 0 without
	// counts.
	Since int64 `json:"since"`
	// Counts are those of the error budget's window.
	Counts Counts `json:"counts"`
	// BudgetLeft is the fraction of the error budget that is left. It is negative
	// if the budget is overspent.
	BudgetLeft float64        `json:"budgetLeft"`
	Windows    []WindowReport `json:"windows"`
	Alerts     []Alert        `json:"alerts"`
	Sources    []SourceReport `json:"sources"`
	// Hours are the hourly counts, for charts.
	Hours []Bucket `json:"hours"`
}

// WindowReport is the burn over one window.
type WindowReport struct {
	Window string  `json:"window"`
	Counts Counts  `json:"counts"`
	Rate   float64 `json:"rate"`
}

// Alert is an alert rule whose threshold both windows, Long and Short, have
// reached.
type Alert struct {
	Severity  Severity `json:"severity"`
	Long      string   `json:"long"`
	Short     string   `json:"short"`
	Threshold float64  `json:"threshold"`
}

// SourceReport holds the bad answers of one data centre and pool over the last
// three days, rounded up to whole days.
type SourceReport struct {
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Counts     Counts `json:"counts"`
}

// NewReport returns the burn of the given services, sorted by name.
func NewReport(h *History, services map[string]configuration.Service, now time.Time) Report {
	r := Report{At: now.Unix()}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		r.Services = append(r.Services, reportService(h, name, services[name], now))
	}
	return r
}

// Burning returns the set of services that have an alert of severity Page.
func Burning(h *History, services map[string]configuration.Service, now time.Time) map[string]bool {
	burning := map[string]bool{}
	for name, s := range services {
		for _, a := range raisedAlerts(windowReports(h, name, s.AvailabilityObjective, now)) {
			if a.Severity == Page {
				burning[name] = true
			}
		}
	}
	return burning
}

func reportService(h *History, name string, s configuration.Service, now time.Time) ServiceReport {
	r := ServiceReport{
		Service:          name,
		Objective:        s.AvailabilityObjective,
		LatencyObjective: s.LatencyObjective.D().Milliseconds(),
		BudgetLeft:       1,
		Windows:          windowReports(h, name, s.AvailabilityObjective, now),
		Sources:          sourceReports(h, name, now),
	}
	for _, w := range r.Windows {
		if w.Window == budgetWindow {
			r.Counts = w.Counts
			r.BudgetLeft = 1 - w.Rate
		}
	}
	if buckets := h.services[name]; buckets != nil && len(buckets[hours]) > 0 {
		r.Hours = buckets[hours]
		r.Since = buckets[hours][0].Start
	}
	r.Alerts = raisedAlerts(r.Windows)
	return r
}

func windowReports(h *History, service string, objective float64, now time.Time) []WindowReport {
	reports := make([]WindowReport, len(windows))
	for i, w := range windows {
		reports[i].Window = w.Name
		buckets := h.services[service]
		if buckets == nil {
			continue
		}
		c := buckets[w.resolution].sumSince(resolutions[w.resolution], now.Add(-w.Length).Unix(), now.Unix())
		reports[i].Counts = c
		reports[i].Rate = c.Rate(objective)
	}
	return reports
}

func raisedAlerts(ws []WindowReport) []Alert {
	rates := map[string]float64{}
	for _, w := range ws {
		rates[w.Window] = w.Rate
	}
	var raised []Alert
	for _, r := range alertRules {
		if rates[r.long] >= r.threshold && rates[r.short] >= r.threshold {
			raised = append(raised, Alert{Severity: r.severity, Long: r.long, Short: r.short, Threshold: r.threshold})
		}
	}
	return raised
}

// sourceReports returns the sources of a service's bad answers, those with most
// bad answers first.
func sourceReports(h *History, service string, now time.Time) []SourceReport {
	from := now.Add(-72 * time.Hour).Unix()
	var all []SourceReport
	for _, s := range slices.SortedFunc(maps.Keys(h.sources), compareSources) {
		if s.Service != service {
			continue
		}
		c := h.sources[s].sumSince(sourceResolution, from, now.Unix())
		if c.Bad() > 0 {
			all = append(all, SourceReport{DataCentre: s.DataCentre, Pool: s.Pool, Counts: c})
		}
	}
	slices.SortStableFunc(all, func(a, b SourceReport) int { return int(b.Counts.Bad() - a.Counts.Bad()) })
	return all
}
