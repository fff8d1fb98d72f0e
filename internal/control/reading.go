package control

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/checkpoint"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/follower"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/relay"
)

// Bounds of the delay after a failed read of the checkpoints.
const (
	initialRestoreDelay = 200 * time.Millisecond
	maxRestoreDelay     = 2 * time.Second
)

// restore sends the state of the newest checkpoint that reaches the offset
// oldest to l.restored. If the stream has no checkpoint and oldest is 0, it sends
// the empty state. It retries until it succeeds or ctx ends.
func (l *Loop) restore(ctx context.Context, oldest record.Offset) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRestoreDelay
	retry.MaxInterval = maxRestoreDelay
	for ctx.Err() == nil {
		state, err := checkpoint.Newest(ctx, l.opts.Log, oldest, l.opts.Logger)
		if errors.Is(err, checkpoint.ErrNone) && oldest == 0 {
			state, err = controlstate.New(), nil
		}
		if err == nil {
			select {
			case l.restored <- state:
			case <-ctx.Done():
			}
			return
		}
		l.opts.Logger.Warn("checkpoint.read_failed", zap.Int64("oldest", int64(oldest)), zap.Error(err))
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// installState replaces the state if the given one is ahead of it. The state
// never goes back: records received from peers may be newer than a checkpoint.
func (l *Loop) installState(ctx context.Context, state *controlstate.State) {
	if state.Next() > l.state.Next() {
		l.state = state
		l.publish()
	}
	if l.outbox == nil {
		l.startMembership(ctx)
	}
	l.checkMembership(ctx)
}

// handleRead folds the records of a read. If the log no longer retains the
// offset, it starts a restore from a checkpoint.
func (l *Loop) handleRead(ctx context.Context, ev follower.Event) {
	switch {
	case errors.Is(ev.Err, platform.ErrTrimmed):
		l.opts.Logger.Warn("log.trimmed", zap.Int64("oldest", int64(ev.Batch.Oldest)))
		go l.restore(ctx, ev.Batch.Oldest)
		return
	case ev.Err != nil:
		l.opts.Logger.Warn("log.read_failed", zap.Error(ev.Err))
		return
	}
	l.oldestKept.Store(int64(ev.Batch.Oldest))
	l.foldAll(ctx, ev.Batch.Entries)
	if l.state.Next() >= ev.Batch.Head {
		l.caughtUp.Store(true)
		l.freshness.noteLogRead(ev.SentAt)
	}
}

// handleRound applies the peers' answers: a checkpoint that is ahead of the
// state, then records, then the peers' positions in the log.
func (l *Loop) handleRound(ctx context.Context, round relay.Round) {
	if len(round.Records.Checkpoint) > 0 {
		state, err := controlstate.Restore(round.Records.Checkpoint)
		if err != nil {
			l.opts.Logger.Warn("peer.checkpoint_damaged", zap.Error(err))
		} else if state.Next() > l.state.Next() {
			l.state = state
			l.publish()
		}
	}
	l.foldAll(ctx, round.Records.Entries)
	l.freshness.notePeers(round.Sent, round.Positions, l.state.Next(), l.self, l.View().Members.IDs())
}

// foldAll folds records and publishes the result if the state advanced.
func (l *Loop) foldAll(ctx context.Context, entries []platform.Entry) {
	before := l.state.Next()
	for _, e := range entries {
		l.fold(e)
	}
	if l.state.Next() == before {
		return
	}
	l.publish()
	l.adjustRates(time.Now())
	l.checkMembership(ctx)
}

// fold folds a record unless it is already folded: the log and peers may deliver
// the same one.
func (l *Loop) fold(e platform.Entry) {
	if e.Offset < l.state.Next() {
		return
	}
	revision := l.state.Revision()
	env, out, err := l.state.FoldData(e.Offset, e.Data)
	if err != nil {
		l.opts.Logger.Error("log.gap", zap.Error(err))
		return
	}
	l.recent.Add(e)
	l.confirm(env.ID, out)
	if l.state.Revision() != revision {
		l.opts.Logger.Info("configuration.applied", zap.Uint64("revision", l.state.Revision()))
	}
	if out.Reason == controlstate.ReasonCorrupt || out.Reason == controlstate.ReasonUnknown {
		l.opts.Logger.Warn("log.record_ignored", zap.Int64("offset", int64(e.Offset)), zap.String("reason", string(out.Reason)))
	}
}

// confirm reports to the outbox that a record was read, from the log or from a peer.
// If the record is this daemon's own and was accepted, it updates lastConfirmed.
func (l *Loop) confirm(id string, out controlstate.Outcome) {
	if l.outbox == nil {
		return
	}
	if made, ok := l.outbox.ReadBack(id); ok && out.Accepted {
		l.lastConfirmed.Store(&made)
	}
}

// checkMembership starts a new membership after another member has reclaimed the
// current one. If this daemon is leaving, it completes Leave instead.
func (l *Loop) checkMembership(ctx context.Context) {
	if l.outbox == nil || !l.state.Departed(l.self) {
		return
	}
	if l.leaving.Load() {
		select {
		case <-l.departed:
		default:
			close(l.departed)
		}
		return
	}
	l.opts.Logger.Warn("member.reclaimed", zap.String("member", string(l.self)))
	l.startMembership(ctx)
}

// pollPeers starts polling peers while the log can't be read, and returns the
// results. It returns nil without Options.Peers.
func (l *Loop) pollPeers(ctx context.Context) <-chan relay.Round {
	if l.opts.Peers == nil {
		return nil
	}
	p := relay.NewPoller(relay.Options{
		Peers:      l.opts.Peers,
		Addresses:  l.peerAddresses,
		Next:       func() record.Offset { return l.View().Next },
		ShouldPoll: func() bool { return l.freshness.logStale(time.Now()) },
	})
	go p.Run(ctx)
	return p.Rounds()
}

// checkpointProgress returns the checkpoint writer's input. It is safe for
// concurrent use.
func (l *Loop) checkpointProgress() checkpoint.Progress {
	v := l.View()
	now := time.Now()
	selected := l.Joined() && !l.freshness.logStale(now) && holdsSlot(v.Members.IDs(), v.Self, now, checkpointSlot)
	return checkpoint.Progress{State: v.Snapshot, Oldest: record.Offset(l.oldestKept.Load()), HoldsSlot: selected}
}

// submitter returns a function that submits a record from another goroutine. It
// blocks until the loop has received the record or ctx ends.
func (l *Loop) submitter(ctx context.Context) func(record.Body) {
	return func(b record.Body) {
		select {
		case l.submit <- b:
		case <-ctx.Done():
		}
	}
}
