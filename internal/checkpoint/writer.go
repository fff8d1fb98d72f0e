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

// When a checkpoint is due. The log keeps records for some minutes at least:
// the first checkpoint follows the first configuration, and later ones come
// well bounds a record expires.
const (
	// maxAge is the most time from one checkpoint to the next.
	maxAge = time.Minute
	// maxBehind is the most records after a checkpoint.
	maxBehind = 5000
	// keptDivisor is the part of the records kept that may follow a checkpoint
	// once the log drops records.
	keptDivisor = 4
)

// Bounds of one write.
const (
	pollInterval  = time.Second
	writeTimeout  = 20 * time.Second
	readBackLimit = 8
)

// Progress is what a writer needs to know of the control stream.
type Progress struct {
	State *controlstate.Snapshot
	// Oldest is the lowest offset of the control stream that is kept.
	Oldest record.Offset
	// Turn is set while this member should write.
	Turn bool
}

// Due tells whether a checkpoint should be written, age after the newest one
// was announced.
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

// Writer writes checkpoints. Run is for one goroutine.
type Writer struct {
	log      platform.Log
	progress func() Progress
	announce func(record.Body)
	logger   *zap.Logger

	// announced is the newest announcement, and seenAt when it was first announced.
	announced   record.Offset
	announcedAt time.Time
}

// NewWriter returns a writer. progress is called often; announce appends a
// record to the control stream.
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

func (w *Writer) poll(ctx context.Context, now time.Time) {
	p := w.progress()
	if p.State.Checkpointed != w.announced || w.announcedAt.IsZero() {
		w.announced = p.State.Checkpointed
		w.announcedAt = now
	}
	if !p.Turn || !Due(p, now.Sub(w.announcedAt)) {
		return
	}
	if err := w.write(ctx, p.State); err != nil {
		w.logger.Warn("checkpoint.write_failed", zap.Error(err))
		return
	}
	w.logger.Info("checkpoint.written", zap.Int64("next", int64(p.State.Next)))
	w.announce(record.Checkpointed{Next: p.State.Next})
}

// write appends a checkpoint and reads it back: an append's reply tells
// nothing for certain.
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
	return errors.New("the checkpoint can't be read back")
}
