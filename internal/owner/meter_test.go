package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// gauge returns the sum of a gauge over all its tags.
func gauge(scope tally.TestScope, name string) float64 {
	sum := 0.0
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == name {
			sum += g.Value()
		}
	}
	return sum
}

// Waiting jobs are reported by queue, and only by the current owner: a former
// owner's gauges would be counted in addition to its successor's.
func TestOnlyTheOwnerReportsWaitingJobs(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		scope := tally.NewTestScope("", nil)
		time.Sleep(50 * time.Millisecond)
		d.unit.post(func() { d.unit.Meter = NewMeter(scope) })
		c.submit(jobA, longStep(4))
		c.submit("00000000000000bb", longStep(2))
		c.submit("00000000000000cc", longStep(2))
		time.Sleep(2 * gaugeInterval)
		is.Equal(gauge(scope, "queue_waiting_jobs"), 2.0)
		is.Equal(gauge(scope, "pool_runs"), 4.0)
		d.unit.Stop()
		<-d.unit.Done()
		is.Equal(gauge(scope, "queue_waiting_jobs"), 0.0)
		is.Equal(gauge(scope, "pool_runs"), 0.0)
	})
}
