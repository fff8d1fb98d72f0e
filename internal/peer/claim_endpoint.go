package peer

import (
	"context"

	"github.com/beryltide/beryltide/internal/claims"
)

// ClaimEndpoint is the RPC service name for idempotency claims.
const ClaimEndpoint = "Claim"

// ClaimServer decides on claims and stores replicas of them. Its methods are
// called concurrently.
type ClaimServer interface {
	Serve(ctx context.Context, r claims.Request) claims.Reply
	Settle(ctx context.Context, s claims.Settlement)
	Receive(t claims.Transfer) claims.Receipt
}

// Claim is the RPC endpoint for idempotency claims.
type Claim struct {
	server ClaimServer
}

// NewClaim returns the endpoint backed by server.
func NewClaim(server ClaimServer) *Claim { return &Claim{server: server} }

// Acquire decides on a claim. If a request with the same key is running, it waits
// for the result.
func (c *Claim) Acquire(r claims.Request, reply *claims.Reply) error {
	*reply = c.server.Serve(context.Background(), r)
	return nil
}

// Settle records the outcome of a claim.
func (c *Claim) Settle(s claims.Settlement, _ *Empty) error {
	c.server.Settle(context.Background(), s)
	return nil
}

// Transfer stores replicas of claims.
func (c *Claim) Transfer(t claims.Transfer, receipt *claims.Receipt) error {
	*receipt = c.server.Receive(t)
	return nil
}

// AcquireClaim requests a claim from the member at addr.
func (c *Client) AcquireClaim(ctx context.Context, addr string, r claims.Request) (claims.Reply, error) {
	return call[claims.Reply](ctx, c, addr, ClaimEndpoint+".Acquire", r)
}

// SettleClaim sends a claim's outcome to the member at addr.
func (c *Client) SettleClaim(ctx context.Context, addr string, s claims.Settlement) error {
	_, err := call[Empty](ctx, c, addr, ClaimEndpoint+".Settle", s)
	return err
}

// TransferClaims sends replicas of claims to the member at addr.
func (c *Client) TransferClaims(ctx context.Context, addr string, t claims.Transfer) (claims.Receipt, error) {
	return call[claims.Receipt](ctx, c, addr, ClaimEndpoint+".Transfer", t)
}
