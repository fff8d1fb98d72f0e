package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/status"
)

// An operator asks where a path goes: the answer names the queue, the pool and the
// routes that it hides; a path that no queue takes is an error, not empty output.
func TestExplainRoute(t *testing.T) {
	is := is.New(t)
	var answer status.Route
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/route")
		is.Equal(r.URL.Query().Get("path"), "/tags/a b&c")
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	daemon := strings.TrimPrefix(server.URL, "http://")
	var out, errs bytes.Buffer
	args := []string{"beryltide", "explain", "route", "--daemon", daemon, "shop.example", "/tags/a b&c"}

	answer = status.Route{Configuration: 7}
	is.Equal(run(t.Context(), args, &out, &errs), exitFailure)
	is.True(strings.Contains(errs.String(), "no queue takes"))

	answer = status.Route{Configuration: 7, Queue: "tags", Prefix: "/tags/", Pool: "proofing", PoolKnown: true, Stretch: 2, Shadowed: []status.ShadowedRoute{{Queue: "all", Prefix: "/"}}}
	is.Equal(run(t.Context(), args, &out, &errs), 0)
	for _, want := range []string{"queue tags", "pool: proofing", "queue all, prefix /", "never runs a second time"} {
		is.True(strings.Contains(out.String(), want))
	}

	is.Equal(run(t.Context(), args[:6], &out, &errs), exitInvalid) // without a path
}
