// Package logging makes the loggers of all programs. They write each event as one
// line of key=value pairs.
package logging

import (
	"os"
	"time"

	logfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of repeated events: in each sampleTick the first sampleFirst lines of an
// event are written, then one in every sampleThereafter.
const (
	sampleTick       = time.Second
	sampleFirst      = 20
	sampleThereafter = 200
)

// New returns a logger that writes to standard error. The level is debug,
// info, warn or error.
func New(level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.MessageKey = "event"
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(logfmt.NewEncoder(cfg), zapcore.Lock(os.Stderr), lvl)
	sampled := zapcore.NewSamplerWithOptions(plainErrors{Core: core}, sampleTick, sampleFirst, sampleThereafter)
	return zap.New(sampled), nil
}
