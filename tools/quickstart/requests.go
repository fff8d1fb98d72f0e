package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

const keysFile = "keys.json"

// reply is a daemon's answer to a request.
type reply struct {
	status int
	body   string
}

func (q *quickstart) submitProofing(ctx context.Context) error {
	return expectAnswer(ctx, q.daemons[0], "proofing", "preview of REX, round tag")
}

func (q *quickstart) submitEngraving(ctx context.Context) error {
	return expectAnswer(ctx, q.daemons[1], "engraving", "REX, +47 55 01 02 03, brass")
}

// expectAnswer submits a task and fails unless the answer is 200 and ends with the
// body.
func expectAnswer(ctx context.Context, d *lab.Daemon, queue, body string) error {
	r, err := submit(ctx, d, queue, body)
	if err != nil {
		return err
	}
	fmt.Printf("%d %s\n", r.status, r.body)
	if r.status != http.StatusOK || !strings.HasSuffix(r.body, body) {
		return errors.Errorf("queue %s answered %d %q", queue, r.status, r.body)
	}
	return nil
}

// submitWithdrawnKey withdraws the key and fails unless a request with it is refused
// as not run.
func (q *quickstart) submitWithdrawnKey(ctx context.Context) error {
	dir, err := q.copyWithoutKey(withdrawnKey)
	if err != nil {
		return err
	}
	if err := q.beryltide(ctx, "apply", dir); err != nil {
		return err
	}
	r, err := submit(ctx, q.daemons[2], "engraving", "REX, again")
	if err != nil {
		return err
	}
	fmt.Printf("%d %s\n", r.status, r.body)
	if r.status != http.StatusUnauthorized || !strings.Contains(r.body, `"not-run"`) {
		return errors.Errorf("the withdrawn key got %d %q", r.status, r.body)
	}
	return nil
}

// copyWithoutKey copies the example's files without one key and returns the copy's
// directory.
func (q *quickstart) copyWithoutKey(name string) (string, error) {
	dir := filepath.Join(q.lab.Dir(), "configuration")
	if err := os.CopyFS(dir, os.DirFS(exampleDir)); err != nil {
		return "", errors.Wrap(err, "copy the example")
	}
	file := filepath.Join(dir, keysFile)
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	var content struct {
		Keys map[string]configuration.Key `json:"keys"`
	}
	if err := json.Unmarshal(data, &content); err != nil {
		return "", errors.Wrap(err, file)
	}
	delete(content.Keys, name)
	if data, err = json.MarshalIndent(content, "", "  "); err != nil {
		return "", errors.WithStack(err)
	}
	return dir, errors.WithStack(os.WriteFile(file, data, 0o600))
}

// submit submits a task to a queue with the example's key.
func submit(ctx context.Context, d *lab.Daemon, queue, body string) (reply, error) {
	url := fmt.Sprintf("http://%s/v1/queues/%s/tasks", d.CallersAddr, queue)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{}, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+exampleKey)
	req.Header.Set("Content-Type", "text/plain")
	req.Header.Set("Idempotency-Key", uuid.NewString())
	req.Header.Set("Request-Timeout", "10000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: strings.TrimSpace(string(data))}, errors.WithStack(err)
}
