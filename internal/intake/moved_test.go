package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/queueunits"
	"github.com/beryltide/beryltide/internal/store"
)

// localUnits are units that this daemon owns, without instances.
type localUnits map[int]*owner.Unit

func (l localUnits) Unit(number int) *owner.Unit { return l[number] }

func (l localUnits) Standings(ctx context.Context, unit int, q owner.StandingQuery) (map[string]owner.Standing, error) {
	return l[unit].Standings(ctx, q)
}

func (l localUnits) start(ctx context.Context, client *memstore.Client, number int) {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	view := fleetview.New(fleetview.Decoders{
		Operator: func(string, []byte) (catalog.OperatorRecord, error) {
			return catalog.OperatorRecord{Catalog: catalog.New(1)}, nil
		},
	}, clock, zap.NewNop())
	view.ResetOperator([]store.Record{{Key: "config", Value: []byte{1}}})
	yes := func(ownership.Tenure) bool { return true }
	l[number] = owner.New(ctx, owner.Deps{
		Log: client, View: view, Clock: clock, Peers: l, QueueUnits: queueunits.New(client, clock), Logger: zap.NewNop(),
		Limits: limits, Meter: owner.NewMeter(tally.NoopScope), UnitOf: unitOfPool, InUse: func(int) bool { return true },
		Bounds: owner.Bounds{MaxLease: 10 * time.Second, StatusKept: time.Minute},
		Holds:  yes, Sole: yes, GiveUp: func(ownership.Tenure) {},
	}, ownership.Tenure{Unit: number, Epoch: 64})
	go l[number].Run()
}

func unitOfPool(pool string) int {
	if pool == "former" {
		return 1
	}
	return 2
}

// Guards against accepted jobs that are answered as unknown, not counted and not
// cancelled once operators have sent their queue to another pool, under whatever name.
func TestJobsAreFoundAfterTheirQueueHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // lets calls in flight end
		}()
		s := memstore.New(4)
		units := localUnits{}
		service := newService(s.Client())
		service.Units, service.UnitOf = units, unitOfPool
		former := &catalog.Queue{Name: "q", Host: "h", Prefix: "/p/", Pool: "former"}
		moved := &catalog.Queue{Name: "r", Host: "h", Prefix: "/p/", Pool: "next"}
		other := &catalog.Queue{Name: "q", Host: "h", Prefix: "/other/", Pool: "next"}
		units.start(ctx, s.Client(), 1)
		units.start(ctx, s.Client(), 2)
		sub := submission()
		sub.Queue, sub.Pool, sub.Route = former.Name, former.Pool, former.Route()
		is.NoErr(service.Submit(ctx, sub))
		time.Sleep(2 * time.Second)

		state, err := service.State(ctx, moved, sub.ID)
		is.NoErr(err)
		is.Equal(state, job.Queued)
		_, err = service.State(ctx, other, sub.ID)
		is.True(errors.Is(err, ErrNoJob)) // a job of another queue
		waiting, err := service.Waiting(ctx, moved)
		is.NoErr(err)
		is.Equal(waiting, 1)
		is.True(errors.Is(service.Cancel(ctx, moved, "00000000000000ff"), ErrNoJob))
		is.NoErr(service.Cancel(ctx, moved, sub.ID))
		time.Sleep(time.Second)
		state, err = service.State(ctx, former, sub.ID)
		is.NoErr(err)
		is.Equal(state, job.Cancelled)

		units[1].Stop()
		_, err = service.State(ctx, moved, "00000000000000ff")
		is.True(errors.Is(err, ErrUnavailable)) // the former unit might have it

		// Submitted again, the job is stored in the next unit too. Its state isn't that of
		// the copy, which would be queued, but that of the job in the former unit.
		sub.Queue, sub.Pool, sub.Route = moved.Name, moved.Pool, moved.Route()
		is.NoErr(service.Submit(ctx, sub))
		time.Sleep(time.Second)
		_, err = service.State(ctx, moved, sub.ID)
		is.True(errors.Is(err, ErrUnavailable))
	})
}
