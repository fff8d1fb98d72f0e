package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/verdict"
)

// cancelTimeout bounds the message that a request's caller has gone.
const cancelTimeout = time.Second

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
	// The peer drops the request by its own deadline if this is lost.
	_, _ = call[Empty](ctx, c, addr, TaskEndpoint+".Cancel", CancelArgs{RequestID: requestID})
}
