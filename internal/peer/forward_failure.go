package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/verdict"
)

// cancelTimeout is the timeout of a Cancel call.
const cancelTimeout = time.Second

// forwardError returns the verdict for a failed call: NotRun if nothing was sent,
// MayHaveRun otherwise. If ctx has ended after the request was sent, it cancels
// the request at the peer.
func (c *Client) forwardError(ctx context.Context, addr string, args ForwardArgs, err error) error {
	if errors.Is(err, ErrUnreachable) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodePeer, "forward")
	}
	if ctx.Err() != nil {
		go c.sendCancel(addr, args.RequestID)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePeer, "forward")
}

func (c *Client) sendCancel(addr, requestID string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// If the call fails, the request still ends at the peer by its own deadline.
	_, _ = call[Empty](ctx, c, addr, TaskEndpoint+".Cancel", CancelArgs{RequestID: requestID})
}
