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

// Maximum numbers of lines of one event in a second, per process. State events show
// why a request failed, so their limit is higher.
const (
	stateLinesPerSecond  = 200
	detailLinesPerSecond = 40
	// reportInterval is the window in which lines are counted; after it the number
	// of omitted lines is logged.
	reportInterval = time.Second
)

// stateEvents are refusals and state changes of jobs and runs.
var stateEvents = map[string]bool{
	"job.accepted": true, "job.state": true, "job.cancelled": true, "job.cancel_accepted": true,
	"request.refused": true, "job.refused_by_outlook": true, "run.ended": true, "run.stop": true, "run.hung": true,
	"long_running.placed": true, "long_running.waits": true,
}

// NewBounded returns a logger for a daemon's standard output. It writes an event as
// one line of key=value pairs, never blocks, and limits the lines of each event in
// a second. The function closeLogger writes the buffered lines; nothing may be
// logged after it.
func NewBounded(level string, out io.Writer) (logger *zap.Logger, closeLogger func(), err error) {
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

// boundedCore limits the lines of each event.
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
		// The writer counts failed writes itself.
		_ = c.Core.Write(entry, []zapcore.Field{zap.String("of", event), zap.Int("lines", lines)})
	}
	if !write {
		return checked
	}
	return checked.AddCore(e, c)
}

// lineCounter counts the lines of each event in the current window. It is safe for
// concurrent use.
type lineCounter struct {
	writer *asyncWriter
	mu     sync.Mutex
	// windowStart is the time of the first line in the current window.
	windowStart time.Time
	lines       map[string]int
	// omitted counts the omitted lines by event.
	omitted map[string]int
}

// admit counts a line and reports whether it may be written. The first line of a
// new window also gets the numbers of lines omitted in the last one, by event.
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
