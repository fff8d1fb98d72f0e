package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/status"
)

// configurationTimeout bounds the query for a whole configuration, which with 100,000
// queues is an answer of 14.5 MB.
const configurationTimeout = 30 * time.Second

// FetchConfiguration asks the daemon at an operations address for its active
// configuration. An answer whose document doesn't have the digest that the daemon
// gives is an error: it is damaged, or has fields that this program doesn't know, and
// differences from it would be wrong. Before the first configuration the daemon has an
// empty document and no digest.
func FetchConfiguration(ctx context.Context, client *http.Client, opsAddr string) (status.Configuration, error) {
	var c status.Configuration
	url := "http://" + opsAddr + "/v1/configuration"
	if err := getJSONWithin(ctx, configurationTimeout, client, url, &c); err != nil {
		return c, err
	}
	digest := c.Digest
	if c.Revision == 0 && digest == "" {
		digest = (&configuration.Document{}).Digest()
	}
	if c.Document == nil || c.Document.Digest() != digest {
		return c, errors.Errorf("the answer of %s doesn't have the digest that it names", url)
	}
	return c, nil
}
