package backend

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// digestAlgorithm is the key of SHA-256 in a Content-Digest field (RFC 9530).
const digestAlgorithm = "sha-256"

// readAnswer reads the complete response to a task. A response with another
// task's ID proves nothing about this one, even if it is a refusal.
func (c *Client) readAnswer(resp *http.Response, taskID string) (platform.Answer, error) {
	if got := resp.Header.Get(headerTaskID); got != taskID {
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeAnswerMismatch,
			"the answer is for task %q, not %q", got, taskID)
	}
	if refused(resp) {
		c.discardBody(resp)
		return platform.Answer{Leaving: leaving(resp)},
			verdict.New(verdict.NotRun, verdict.CodeBackendRefused, "the backend server refused the task")
	}
	body, err := c.readBody(resp)
	if err != nil {
		return platform.Answer{}, verdict.Wrap(err, verdict.Ran, verdict.CodeAnswerIncomplete, "read the answer")
	}
	if !matchesDigest(resp.Header.Values(headerDigest), body) {
		return platform.Answer{}, verdict.New(verdict.Ran, verdict.CodeAnswerMismatch, "the answer doesn't match its digest")
	}
	return platform.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerContentType),
		Body:        body,
		Instance:    resp.Header.Get(headerInstance),
		Leaving:     leaving(resp),
	}, nil
}

func leaving(resp *http.Response) bool { return resp.Header.Get(headerLeaving) == "true" }

func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get(headerVerdict) == verdict.NotRun.String()
}

// discardBody reads a refusal's body, so that the connection can be reused.
func (c *Client) discardBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderBytes))
}

func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	switch {
	case resp.ContentLength < 0:
		return nil, errors.New("the answer has no Content-Length")
	case resp.ContentLength > c.maxBody:
		return nil, errors.Errorf("the answer has %d bytes, more than the maximum of %d", resp.ContentLength, c.maxBody)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return body, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestAlgorithm + "=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// matchesDigest reports whether the Content-Digest fields hold the SHA-256 of
// body. Digests of other algorithms are ignored.
func matchesDigest(fields []string, body []byte) bool {
	want := digest(body)
	for _, field := range fields {
		for member := range strings.SplitSeq(field, ",") {
			if strings.TrimSpace(member) == want {
				return true
			}
		}
	}
	return false
}
