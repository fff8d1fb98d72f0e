package daemon

import (
	"time"

	"github.com/beryltide/beryltide/internal/claims"
	"github.com/beryltide/beryltide/internal/settings"
)

// Limits on the idempotency claims that one daemon holds.
const (
	// clockSkew is the maximum by which a caller's clock may be ahead.
	clockSkew = time.Minute
	maxClaims = 100_000
	// maxClaimBody and maxClaimBodies limit the bytes of one answer body kept
	// with a claim, and of all of them.
	maxClaimBody   = 16 << 10
	maxClaimBodies = 24 << 20
)

func claimOptions(s settings.Settings) claims.Options {
	return claims.Options{
		Window:    s.Timeouts.ClaimWindow.D(),
		Skew:      clockSkew,
		MaxClaims: maxClaims,
		MaxBody:   maxClaimBody,
		MaxBodies: maxClaimBodies,
	}
}
