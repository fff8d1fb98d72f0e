package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/status"
)

// Bounds of queries to daemons.
const (
	pollInterval     = 100 * time.Millisecond
	requestTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// DaemonRevision is the revision that is active at one daemon.
type DaemonRevision struct {
	Instance string `json:"instance"`
	Member   string `json:"member"`
	OpsAddr  string `json:"opsAddr"`
	Revision uint64 `json:"revision"`
	// Error is the reason why the last query failed.
	Error string `json:"error,omitempty"`
}

// Behind reports whether the daemon's last query failed or showed an older
// revision.
func (d DaemonRevision) Behind(revision uint64) bool { return d.Error != "" || d.Revision < revision }

// WaitForRevision polls each member until it has reached a revision, or until ctx
// ends. It returns the last answer of each, in the order of members.
func WaitForRevision(ctx context.Context, client *http.Client, members []*member.Member, revision uint64) []DaemonRevision {
	answers := make([]DaemonRevision, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		answers[i] = DaemonRevision{Instance: m.Instance, Member: string(m.ID), OpsAddr: m.OpsAddr}
		wg.Go(func() { pollRevision(ctx, client, &answers[i], revision) })
	}
	wg.Wait()
	return answers
}

func pollRevision(ctx context.Context, client *http.Client, daemon *DaemonRevision, revision uint64) {
	for {
		s, err := fetchRevision(ctx, client, daemon.OpsAddr)
		switch {
		case err == nil:
			daemon.Revision, daemon.Error = s.Revision, ""
		case ctx.Err() == nil || daemon.Error == "":
			daemon.Error = err.Error()
		}
		if !daemon.Behind(revision) || !pause.For(ctx, pollInterval) {
			return
		}
	}
}

// fetchRevision queries one daemon for its active revision.
func fetchRevision(ctx context.Context, client *http.Client, opsAddr string) (status.Revision, error) {
	var r status.Revision
	err := getJSON(ctx, client, "http://"+opsAddr+"/v1/revision", &r)
	return r, err
}

// FetchStatus queries one daemon for its status.
func FetchStatus(ctx context.Context, client *http.Client, opsAddr string) (status.Status, error) {
	var s status.Status
	err := getJSON(ctx, client, "http://"+opsAddr+"/v1/status", &s)
	return s, err
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	return getJSONWithin(ctx, requestTimeout, client, url, v)
}

func getJSONWithin(ctx context.Context, timeout time.Duration, client *http.Client, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", url, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v)
	return errors.Wrapf(err, "decode the answer of %s", url)
}
