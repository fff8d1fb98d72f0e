package outbox

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// discardLog is a log that takes appends and keeps nothing.
type discardLog struct {
	platform.Log
	appends int
}

func (l *discardLog) Append(context.Context, platform.Stream, []byte) error {
	l.appends++
	return nil
}

// A record that can't be encoded must be dropped with a line, and the records after it
// must be sent. It was dropped silently: its sender waited for an effect that nobody
// could find the absence of.
func TestRecordThatCannotBeEncodedIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, lines := observer.New(zapcore.InfoLevel)
		log := &discardLog{}
		o := New(log, platform.StreamControl, "", zap.New(core))
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		o.Submit(nil) // a record without a body
		o.Submit(record.Leave{})
		synctest.Wait()
		is.Equal(lines.FilterMessage("control.record_dropped").Len(), 1)
		is.Equal(log.appends, 1)
		cancel()
		synctest.Wait()
	})
}
