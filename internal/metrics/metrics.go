// Package metrics makes the root scope of a process's metrics and the handler of
// its metrics page, and records a daemon's status as metrics.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix is the first part of every metric's name.
const prefix = "beryltide"

// flushInterval is the interval at which the scope passes its values to the
// reporter.
const flushInterval = 5 * time.Second

// New returns the root scope, the handler of the metrics page, and a closer that
// flushes and ends the scope.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := registry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizer returns the library's rules for Prometheus, but keeps dashes in tag
// values, so that names such as a-b and a_b remain different.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters.Characters = tally.UnderscoreDashCharacters
	return &opts
}

// registry returns a new registry with the Go and process collectors of the default
// one. A process may hold several scopes, each with its own registry.
func registry() *client.Registry {
	r := client.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}
