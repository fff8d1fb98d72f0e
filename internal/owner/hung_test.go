package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// A task of an hour advances by a percent every 36 s and must not count as hung
// between two of them.
func TestLongTasksAreNotTreatedAsHung(t *testing.T) {
	startedAt := time.Now()
	for _, c := range []struct {
		name     string
		percent  int
		after    time.Duration
		estimate time.Duration
		want     time.Duration
	}{
		{"short task", 40, 400 * time.Millisecond, 300 * time.Millisecond, hungMinTime},
		{"hour, with progress", 2, 72 * time.Second, time.Hour, 108 * time.Second},
		{"hour, none yet", 0, 0, time.Hour, 18 * time.Minute},
		{"hour, estimated at six minutes", 0, 0, 6 * time.Minute, 108 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := run{step: &job.Step{Estimate: c.estimate}, percent: c.percent, startedAt: startedAt, percentAt: startedAt.Add(c.after)}
			is.Equal(r.progressTimeout(), c.want)
		})
	}
}
