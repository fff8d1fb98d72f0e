package fleetd

import (
	"encoding/json"
	"net/http"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/status"
)

// operations returns the handler of the operations port: the metrics page, and
// which queue takes a request.
func (d *Daemon) operations() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.ports.MetricsPage)
	mux.HandleFunc("GET /v1/route", func(w http.ResponseWriter, r *http.Request) {
		serveRoute(w, r, d.view.Catalog())
	})
	return mux
}

// serveRoute answers which queue takes the host and path of the query.
func serveRoute(w http.ResponseWriter, r *http.Request, c *catalog.Catalog) {
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	// Nothing can be done if the client has disconnected.
	_ = json.NewEncoder(w).Encode(explainRoute(c, query.Get("host"), query.Get("path")))
}

func explainRoute(c *catalog.Catalog, host, path string) status.Route {
	out := status.Route{Configuration: c.Version}
	e, found := c.Explain(host, path)
	if !found {
		return out
	}
	q := e.Queue
	out.Queue, out.Prefix, out.Rest, out.Pool = q.Name, q.Prefix, e.Rest, q.Pool
	out.PoolKnown = c.Pools[q.Pool] != nil
	out.Public, out.Priority, out.MaxFailures, out.Advised = q.Public, q.Priority, q.MaxFailures, q.Advised
	out.Stretch, out.TargetLatency = q.Stretch, q.TargetLatency.Milliseconds()
	out.BodyBytes = c.Limits.BodyBytes
	for _, s := range e.Shadowed {
		out.Shadowed = append(out.Shadowed, status.ShadowedRoute{Queue: s.Name, Prefix: s.Prefix})
	}
	return out
}
