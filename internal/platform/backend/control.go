package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
)

// maxControlBody is the maximum size of the body of a stop's answer or of a usage
// report, in bytes.
const maxControlBody = 64 << 10

// stopResult is the answer to a stop.
type stopResult struct {
	Over *bool `json:"over"`
}

// Stop requests that the backend server at addr end a task. It returns true once
// it is known that the task is over and will never start.
func (c *Client) Stop(ctx context.Context, addr, taskID string) (bool, error) {
	var result stopResult
	if err := c.call(ctx, http.MethodDelete, addr, tasksPath+"/"+url.PathEscape(taskID), &result); err != nil {
		return false, errors.Wrapf(err, "stop task %s", taskID)
	}
	return result.Over != nil && *result.Over, nil
}

// Usage returns the backend server's report of its own load.
func (c *Client) Usage(ctx context.Context, addr string) (platform.Usage, error) {
	var usage platform.Usage
	if err := c.call(ctx, http.MethodGet, addr, usagePath, &usage); err != nil {
		return platform.Usage{}, errors.Wrapf(err, "get the usage of %s", addr)
	}
	return usage, nil
}

func (c *Client) call(ctx context.Context, method, addr, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	resp, err := c.control.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode body")
}
