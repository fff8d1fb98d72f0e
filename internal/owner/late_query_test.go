package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// Guards against a daemon that ends: a query whose caller has given up still runs, and
// wrote to results that the caller had reset to nil.
func TestQueryThatRunsAfterItsCallerGaveUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		query func(ctx context.Context, u *Unit) error
	}{
		{"standings", func(ctx context.Context, u *Unit) error {
			_, err := u.lookUpStandings(ctx, StandingQuery{Route: (&job.Submission{Queue: testQueue}).QueueRoute(), IDs: []string{jobA}})
			return err
		}},
		{"stored", func(ctx context.Context, u *Unit) error {
			_, err := u.lookUpStored(ctx, []Submission{{ID: jobA}})
			return err
		}},
		{"state", func(ctx context.Context, u *Unit) error {
			_, err := u.lookUp(ctx, jobA, "")
			return err
		}},
		{"waiting", func(ctx context.Context, u *Unit) error {
			_, _, err := u.Waiting(ctx, testQueue, "")
			return err
		}},
		{"release", func(ctx context.Context, u *Unit) error {
			_, err := u.Release(ctx, []string{"none"})
			return err
		}},
		{"demand", func(ctx context.Context, u *Unit) error {
			_, err := u.Demand(ctx, testPool)
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 1, func(c *cluster, is *is.I) {
				d := c.startOwner(64)
				tooLarge := smallStep(1)
				tooLarge.Need.CPU = 1 << 20
				c.submit("00000000000000bb", tooLarge)
				c.submit(jobA, smallStep(1))
				time.Sleep(2 * time.Second)
				d.unit.post(func() { time.Sleep(time.Second) })
				ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
				defer cancel()
				is.Equal(test.query(ctx, d.unit), ErrNotReady)
				time.Sleep(2 * time.Second)
				is.Equal(d.state(jobA), job.Completed)
			})
		})
	}
}
