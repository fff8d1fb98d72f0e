package daemon

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/metrics"
)

// metricsInterval is the interval at which the gauges are set.
const metricsInterval = 15 * time.Second

// notCounted is the metrics outcome of requests that don't count for the service
// level.
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
