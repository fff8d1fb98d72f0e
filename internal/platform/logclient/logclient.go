// Package logclient is the HTTP adapter of platform.Log.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// maxAnswer is the maximum size of an answer of the log in bytes.
const maxAnswer = 64 << 20

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ platform.Log = (*Client)(nil)

// New returns a client of the log service at a base URL.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, s platform.Stream, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(s), bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "append")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "append")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("append: log answered %s", resp.Status)
	}
	return nil
}

// readResponse is the log's JSON answer to a read.
type readResponse struct {
	Oldest  record.Offset `json:"oldest"`
	Head    record.Offset `json:"head"`
	Entries []struct {
		Offset record.Offset `json:"offset"`
		Data   []byte        `json:"data"`
	} `json:"entries"`
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	query := url.Values{
		"from":  {strconv.FormatInt(int64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(s)+"?"+query.Encode(), nil)
	if err != nil {
		return platform.Batch{}, errors.Wrap(err, "read")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return platform.Batch{}, errors.Wrap(err, "read")
	}
	defer resp.Body.Close()
	return parseBatch(resp, from)
}

func parseBatch(resp *http.Response, from record.Offset) (platform.Batch, error) {
	trimmed := resp.StatusCode == http.StatusGone
	if resp.StatusCode != http.StatusOK && !trimmed {
		return platform.Batch{}, errors.Errorf("read: log answered %s", resp.Status)
	}
	var page readResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&page); err != nil {
		return platform.Batch{}, errors.Wrap(err, "read: decode answer")
	}
	b := platform.Batch{Oldest: page.Oldest, Head: page.Head}
	if trimmed {
		return b, platform.ErrTrimmed
	}
	for i, e := range page.Entries {
		if want := from + record.Offset(i); e.Offset != want {
			return platform.Batch{}, errors.Errorf("read: got offset %d, want %d", e.Offset, want)
		}
		b.Entries = append(b.Entries, platform.Entry{Offset: e.Offset, Data: e.Data})
	}
	return b, nil
}

func (c *Client) streamURL(s platform.Stream) string {
	return fmt.Sprintf("%s/v1/streams/%s", c.base, url.PathEscape(string(s)))
}
