package logging

import (
	"io"
	"sync"
	"time"

	logfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Lines of one event in each second, per process. Refusals and changes of state
// tell why a request failed and are left out last.
const (
	stateLinesPerSecond  = 200
	detailLinesPerSecond = 40
	// reportInterval is how often what was left out is told.
	reportInterval = time.Second
)

// stateEvents are refusals and changes of what the process believes.
var stateEvents = map[string]bool{
	"job.accepted": true, "job.state": true, "job.cancelled": true, "job.cancel_accepted": true,
	"request.refused": true, "run.ended": true, "run.stop": true, "run.hung": true,
}

// Bounded returns a logger for a daemon's standard output: one line of key=value
// pairs an event, never blocking, with a bounded number of lines of each event a
// second. Close writes what is buffered.
func Bounded(level string, out io.Writer) (logger *zap.Logger, closeLogger func(), err error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.MessageKey = "event"
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	w := newAsyncWriter(out)
	core := plainErrors{Core: zapcore.NewCore(logfmt.NewEncoder(cfg), w, lvl)}
	b := &boundedCore{Core: core, counter: &lineCounter{writer: w, lines: map[string]int{}, omitted: map[string]int{}}}
	return zap.New(b), w.close, nil
}

// boundedCore bounds the lines of each event.
type boundedCore struct {
	zapcore.Core
	counter *lineCounter
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), counter: c.counter}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	omitted, write := c.counter.admit(e)
	for event, lines := range omitted {
		entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "log.left_out"}
		// An error of writing is counted by the writer itself.
		_ = c.Core.Write(entry, []zapcore.Field{zap.String("of", event), zap.Int("lines", lines)})
	}
	if !write {
		return checked
	}
	return checked.AddCore(e, c)
}

// lineCounter counts the lines of the second that runs.
type lineCounter struct {
	writer *asyncWriter
	mu     sync.Mutex
	// windowStart is when the second began.
	windowStart time.Time
	lines       map[string]int
	// omitted counts what was left out.
	omitted map[string]int
}

// admit says whether a line may be written, and what was left out in the second
// before, once it is over.
func (c *lineCounter) admit(e zapcore.Entry) (report map[string]int, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Time.Sub(c.windowStart) >= reportInterval {
		report = c.omitted
		if n := c.writer.dropped.Swap(0); n > 0 {
			report["full buffer"] += int(n)
		}
		c.windowStart, c.lines, c.omitted = e.Time, map[string]int{}, map[string]int{}
	}
	limit := detailLinesPerSecond
	if stateEvents[e.Message] || e.Level >= zapcore.ErrorLevel {
		limit = stateLinesPerSecond
	}
	c.lines[e.Message]++
	if c.lines[e.Message] <= limit {
		return report, true
	}
	c.omitted[e.Message]++
	return report, false
}
