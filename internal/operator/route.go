package operator

import (
	"context"
	"net/http"
	"net/url"

	"github.com/beryltide/beryltide/internal/status"
)

// FetchRoute asks the daemon at an operations address which queue takes a
// request's host and path.
func FetchRoute(ctx context.Context, client *http.Client, opsAddr, host, path string) (status.Route, error) {
	var r status.Route
	query := url.Values{"host": {host}, "path": {path}}
	err := getJSON(ctx, client, "http://"+opsAddr+"/v1/route?"+query.Encode(), &r)
	return r, err
}
