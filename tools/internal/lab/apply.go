package lab

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/record"
)

// Configure appends the change from one configuration document, which is revision
// baseRevision, to another. It returns the size of the record in bytes.
func Configure(ctx context.Context, platformAddr string, baseRevision uint64, from, to *configuration.Document) (int, error) {
	delta, err := configuration.Diff(from, to).Encode()
	if err != nil {
		return 0, err
	}
	data, err := record.Encode(record.Envelope{
		ID:     uuid.NewString(),
		Author: "tools",
		Body:   record.Configure{Base: baseRevision, Delta: delta, Digest: to.Digest(), Operator: "tools"},
	})
	if err != nil {
		return 0, err
	}
	log := logclient.New("http://"+platformAddr, http.DefaultTransport)
	return len(data), log.Append(ctx, platform.StreamControl, data)
}
