// Package operations serves the HTTP endpoints of the operations port: health,
// readiness, metrics, status and profiles.
package operations

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/beryltide/beryltide/internal/status"
)

// Options are the sources of a handler's answers. The functions are called
// concurrently.
type Options struct {
	// Ready returns the reason why the daemon accepts no work, or nil.
	Ready  func() error
	Status func() status.Status
	// Revision returns the active revision, for clients that poll it.
	Revision func() status.Revision
	// Configuration returns the active configuration.
	Configuration func() status.Configuration
	Metrics       http.Handler
	// Burn returns the service-level counts.
	Burn func() status.Burn
}

// New returns the handler of the operations port.
func New(opts Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := opts.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.Status())
	})
	mux.HandleFunc("GET /v1/revision", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.Revision())
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.Configuration())
	})
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.Burn())
	})
	mux.Handle("GET /metrics", opts.Metrics)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Nothing can be done if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeText(w http.ResponseWriter, code int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	// Nothing can be done if the client has disconnected.
	_, _ = w.Write([]byte(line + "\n"))
}
