// Package directory is the HTTP adapter of platform.Directory.
package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
)

// maxAnswer is the maximum size of a list in bytes.
const maxAnswer = 16 << 20

// Client calls the directory service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	mu     sync.Mutex
	cached taggedList
}

// taggedList is a list with its entity tag.
type taggedList struct {
	tag       string
	instances []platform.Listing
}

var _ platform.Directory = (*Client)(nil)

// New returns a client of the directory service at a base URL.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// List implements platform.Directory. If the directory sends entity tags, an
// unchanged list is returned from the cache without another transfer. Callers
// must not modify the list.
func (c *Client) List(ctx context.Context) ([]platform.Listing, error) {
	cached := c.cachedList()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	if cached.tag != "" {
		req.Header.Set("If-None-Match", cached.tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.decodeList(resp)
	case http.StatusNotModified:
		return cached.instances, nil
	default:
		return nil, errors.Errorf("list instances: directory answered %s", resp.Status)
	}
}

func (c *Client) cachedList() taggedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cached
}

func (c *Client) decodeList(resp *http.Response) ([]platform.Listing, error) {
	var list struct {
		Instances []platform.Listing `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "list instances: decode answer")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = taggedList{tag: resp.Header.Get("ETag"), instances: list.Instances}
	return list.Instances, nil
}

// Reboot implements platform.Directory.
func (c *Client) Reboot(ctx context.Context, instance, wave string) error {
	body, err := json.Marshal(map[string]string{"wave": wave})
	if err != nil {
		return errors.Wrap(err, "reboot")
	}
	target := c.base + "/v1/instances/" + url.PathEscape(instance) + "/reboot"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "reboot")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "reboot")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusAccepted:
		return platform.ErrRebooting
	default:
		return errors.Errorf("reboot: directory answered %s", resp.Status)
	}
}
