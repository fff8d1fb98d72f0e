package entry

import (
	"context"
	"net/http"

	"github.com/beryltide/beryltide/internal/claims"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/traffic"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Claims claims idempotency keys.
type Claims interface {
	Acquire(ctx context.Context, k claims.Key, request claims.Digest) (*claims.Grant, claims.Result, error)
}

// runOnce runs a request under its idempotency key, or returns the outcome of
// the key's first request.
func (h *Handler) runOnce(ctx context.Context, req traffic.Request) (platform.Answer, error) {
	key := claims.Key{Team: req.Team, Queue: req.Queue, Value: req.IdempotencyKey}
	claimCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	grant, result, err := h.opts.Claims.Acquire(claimCtx, key, claims.DigestOf(req.ContentType, req.Body))
	switch {
	case err != nil:
		return platform.Answer{}, err
	case grant == nil:
		return earlierAnswer(result)
	}
	answer, err := h.opts.Server.Do(ctx, req)
	recordOutcome(grant, answer, err)
	return answer, err
}

// recordOutcome records the outcome of a request with its key, or releases the
// key when the request did not run.
func recordOutcome(grant *claims.Grant, a platform.Answer, err error) {
	switch {
	case err == nil:
		grant.Finish(claims.Result{
			Verdict:     verdict.Ran,
			Status:      a.Status,
			ContentType: a.ContentType,
			Body:        a.Body,
			Instance:    a.Instance,
			Whole:       true,
		})
	case verdict.Of(err) == verdict.NotRun:
		grant.Release()
	default:
		grant.Finish(claims.Result{Verdict: verdict.Of(err)})
	}
}

// earlierAnswer returns the answer to a repeated request.
func earlierAnswer(r claims.Result) (platform.Answer, error) {
	switch {
	case r.Whole:
		return platform.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Instance: r.Instance}, nil
	case r.Verdict == verdict.Ran:
		return platform.Answer{}, verdict.New(verdict.Ran, verdict.CodeAlreadyRan, "the key's first request ran, but its answer was not kept")
	default:
		return platform.Answer{}, verdict.New(r.Verdict, verdict.CodeOutcomeUnknown, "the key's first request may have run, but its answer was lost")
	}
}

// verdictBeforeClaim returns the verdict of a request that is refused before
// its idempotency key was looked up: an earlier request with the key may have
// run.
func verdictBeforeClaim(r *http.Request) verdict.Verdict {
	if r.Header.Get(headerIdempotencyKey) != "" {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
