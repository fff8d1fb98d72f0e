package intake

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// Guards against submissions that the store can't take and that fail those stored
// with them: one that is too large alone, and many that are so together.
func TestSubmissionsStayWithinTheStoresLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		s.Latency = 100 * time.Millisecond
		s.Limits = store.Limits{Record: 20_000, Append: 40_000}
		service := newService(s.Client())
		service.Limits = s.Limits
		large := submission()
		large.Steps = []job.Step{{Count: 1, Labels: []string{strings.Repeat("x", 20_000)}}}
		var wg sync.WaitGroup
		for n := range 30 {
			sub := submission()
			sub.ID, sub.Payload = fmt.Sprintf("%016x", n), strings.Repeat("x", 4000)
			wg.Go(func() { is.NoErr(service.Submit(t.Context(), sub)) })
		}
		begin := time.Now()
		is.True(errors.Is(service.Submit(t.Context(), large), ErrTooLarge))
		is.Equal(time.Since(begin), time.Duration(0)) // refused at once
		wg.Wait()
		is.True(time.Since(begin) < time.Second) // few appends, none refused
		page, err := s.Client().Newest(t.Context(), ownership.Topic, 1, "")
		is.NoErr(err)
		is.Equal(len(page.Records), 30)
	})
}
