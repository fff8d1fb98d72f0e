package fleetd

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/status"
)

// The daemon answers from its active configuration where a request goes; without
// one it says so instead of naming no queue.
func TestServeRoute(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	serveRoute(w, httptest.NewRequest("GET", "/v1/route?host=h&path=/tags/1f", nil), nil)
	is.Equal(w.Code, 503)

	c := catalog.New(9)
	c.AddQueue(&catalog.Queue{Name: "tags", Host: "h", Prefix: "/tags/", Pool: "proofing", MaxFailures: 4})
	c.AddQueue(&catalog.Queue{Name: "all", Host: "h", Prefix: "/"})
	w = httptest.NewRecorder()
	serveRoute(w, httptest.NewRequest("GET", "/v1/route?host=h&path=/tags/1f", nil), c)
	var r status.Route
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &r))
	is.Equal(r.Queue, "tags")
	is.Equal(r.Rest, "1f")
	is.Equal(r.PoolKnown, false)
	is.Equal(r.Shadowed, []status.ShadowedRoute{{Queue: "all", Prefix: "/"}})
}
