package checkpoint

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// When a checkpoint is due. The log retains records for at least some minutes.
// The first checkpoint is due after the first configuration, and later ones are
// due well before a record expires.
const (
	// maxAge is the maximum time between checkpoints.
	maxAge = time.Minute
	// maxBehind is the maximum number of records after a checkpoint.
	maxBehind = 5000
	// keptDivisor limits the records after a checkpoint to one in keptDivisor of
	// the retained ones, once the log has dropped records.
	keptDivisor = 4
)

// Polling of the progress, and limits of one write.
const (
	pollInterval = time.Second
	writeTimeout = 20 * time.Second
	// readBackLimit is the number of checkpoints searched for the written one:
	// other members may have appended theirs at the same time.
	readBackLimit = 8
)

// Progress is the state of the control stream that a writer decides on.
type Progress struct {
	State *controlstate.Snapshot
	// Oldest is the lowest retained offset of the control stream.
	Oldest record.Offset
	// HoldsSlot is set while this member holds the slot for writing checkpoints and
	// can read the log.
	HoldsSlot bool
}

// Due reports whether a checkpoint should be written. age is the time since the
// newest one was announced.
func Due(p Progress, age time.Duration) bool {
	if p.State.Revision == 0 {
		return false
	}
	checkpointed := p.State.Checkpointed
	if checkpointed == record.NoOffset {
		return true
	}
	behind := p.State.Next - checkpointed
	kept := p.State.Next - p.Oldest
	switch {
	case behind >= maxBehind || age >= maxAge:
		return true
	default:
		return p.Oldest > 0 && behind >= kept/keptDivisor
	}
}

// Writer writes checkpoints. Run is called by one goroutine.
type Writer struct {
	log      platform.Log
	progress func() Progress
	announce func(record.Body)
	logger   *zap.Logger

	// announced is the Next of the newest announced checkpoint, first seen at
	// announcedAt.
	announced   record.Offset
	announcedAt time.Time
}

// NewWriter returns a writer. Both functions are called by Run's goroutine:
// progress at each poll, announce to append a record to the control stream.
func NewWriter(log platform.Log, progress func() Progress, announce func(record.Body), logger *zap.Logger) *Writer {
	return &Writer{log: log, progress: progress, announce: announce, logger: logger, announced: record.NoOffset}
}

// Run writes checkpoints as they become due until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			w.poll(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// poll writes and announces a checkpoint if one is due and this member holds the
// slot.
func (w *Writer) poll(ctx context.Context, now time.Time) {
	p := w.progress()
	if p.State.Checkpointed != w.announced || w.announcedAt.IsZero() {
		w.announced = p.State.Checkpointed
		w.announcedAt = now
	}
	if !p.HoldsSlot || !Due(p, now.Sub(w.announcedAt)) {
		return
	}
	if err := w.write(ctx, p.State); err != nil {
		w.logger.Warn("checkpoint.write_failed", zap.Error(err))
		return
	}
	w.logger.Info("checkpoint.written", zap.Int64("next", int64(p.State.Next)))
	w.announce(record.Checkpointed{Next: p.State.Next})
}

// write appends a checkpoint and reads it back, since the reply to an append may
// be lost or wrong. It returns an error unless the same bytes were read.
func (w *Writer) write(ctx context.Context, s *controlstate.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	data, err := s.Checkpoint()
	if err != nil {
		return err
	}
	bounds, err := streamBounds(ctx, w.log)
	if err != nil {
		return err
	}
	appendErr := w.log.Append(ctx, platform.StreamCheckpoint, data)
	batch, err := w.log.Read(ctx, platform.StreamCheckpoint, bounds.Head, readBackLimit, 0)
	if err != nil {
		return err
	}
	for _, e := range batch.Entries {
		if bytes.Equal(e.Data, data) {
			return nil
		}
	}
	if appendErr != nil {
		return appendErr
	}
	return errors.New("the appended checkpoint was not found in the stream")
}
