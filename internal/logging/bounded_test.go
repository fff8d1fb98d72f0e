package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.out.Write(data)
}

// If the process that reads the output stops reading, logging must not block
// requests; the number of lost lines is logged afterwards.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		logger, end, err := NewBounded("info", out)
		is.NoErr(err)
		for second := range 100 {
			for range 2 * stateLinesPerSecond {
				logger.Info("job.state", zap.Int("second", second))
			}
			time.Sleep(reportInterval)
		}
		close(out.release)
		synctest.Wait()
		logger.Info("job.accepted")
		time.Sleep(2 * reportInterval)
		logger.Info("job.accepted")
		end()
		is.True(strings.Contains(out.out.String(), `event=log.left_out of="full buffer"`))
	})
}

func TestEventLinesAreLimitedAndOmissionsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		logger, end, err := NewBounded("info", &out)
		is.NoErr(err)
		for range 50 {
			logger.Info("run.paced")
		}
		logger.Info("request.refused", zap.String("reason", "no such queue"))
		time.Sleep(reportInterval)
		logger.Info("daemon.stopped")
		end()
		is.Equal(strings.Count(out.String(), "event=run.paced"), detailLinesPerSecond)
		is.True(strings.Contains(out.String(), `event=request.refused reason="no such queue"`))
		is.True(strings.Contains(out.String(), "event=log.left_out of=run.paced lines=10"))
	})
}

func TestUnknownLevel(t *testing.T) {
	is := is.New(t)
	_, _, err := NewBounded("loud", io.Discard)
	is.True(err != nil)
}
