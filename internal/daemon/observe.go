package daemon

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/metrics"
)

// metricsInterval is how often the gauges are set.
const metricsInterval = 15 * time.Second

// notCounted is the outcome of requests that say nothing about the service.
const notCounted = "not-counted"

// runMetrics sets the gauges until ctx ends.
func (d *Daemon) runMetrics(ctx context.Context, r *metrics.Recorder) {
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.Status(d.status())
		case <-ctx.Done():
			return
		}
	}
}
