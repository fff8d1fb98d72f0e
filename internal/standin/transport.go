package standin

import (
	"net/http"
	"net/http/httptest"

	"github.com/pkg/errors"
)

// errDropped is the error of a request whose connection was dropped.
var errDropped = errors.New("connection dropped")

// Transport is an http.RoundTripper that calls a handler in the same process,
// without a connection, so that tests can run in virtual time.
type Transport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != http.ErrAbortHandler {
				panic(r)
			}
			resp, err = nil, errDropped
		}
	}()
	rec := httptest.NewRecorder()
	if req.Body == nil {
		req.Body = http.NoBody
	}
	t.Handler.ServeHTTP(rec, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}
