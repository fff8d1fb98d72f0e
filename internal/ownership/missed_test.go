package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

// Guards against a tenure that outlives another one of its unit: the group has passed
// through generations that the daemon didn't see, in one of which another daemon may have
// owned the unit, with a higher epoch.
func TestTenureEndsWithAMissedGeneration(t *testing.T) {
	is := is.New(t)
	m := New(nil, "a:1", "1", 1, alwaysAlive, func() time.Duration { return time.Second }, zap.NewNop())
	claims := []store.Claim{{Partition: 1}}
	m.applyMembership(store.Membership{Generation: 9, Claims: claims}, 0)
	before := m.Tenures()[0]
	m.applyMembership(store.Membership{Generation: 10, Claims: claims}, 300*time.Millisecond)
	is.Equal(m.Tenures()[0], before) // it has owned the unit throughout
	m.applyMembership(store.Membership{Generation: 12, Claims: claims}, 600*time.Millisecond)
	is.True(m.Tenures()[0].Epoch > 11*epochsPerGeneration) // the highest that another owner can have had
	is.True(!m.Holds(before))
}

// epochs returns the epoch of each of a member's units.
func epochs(m *Member) map[int]int64 {
	out := map[int]int64{}
	for _, t := range m.Tenures() {
		out[t.Unit] = t.Epoch
	}
	return out
}

// Guards against two leaders in turn of which the later one has the lower epoch: all units
// pass to another member and back between two joins.
func TestUnitThatWasAwayBetweenTwoJoinsHasANewEpoch(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, _, _ := startMember(ctx, s, "a:1", 0.4)
		b, _, _ := startMember(ctx, s, "b:1", 0.4)
		time.Sleep(2 * time.Second)
		before := epochs(a)
		is.Equal(len(before), units/2)
		s.Reassign(Group)
		between := a.generation + 1
		s.Reassign(Group)
		time.Sleep(time.Second)
		after := epochs(a)
		is.Equal(len(after), len(before))
		for unit := range before {
			is.True(after[unit] >= (between+1)*epochsPerGeneration) // over all of the member between
		}
		is.Equal(len(b.Tenures()), units/2)
	})
}

// Guards against a takeover of each unit for each generation that a daemon misses, as it
// does all the time while others start: the store confirms what it has held throughout.
func TestUnitHeldThroughMissedGenerationsKeepsItsEpoch(t *testing.T) {
	for name, c := range map[string]struct {
		fault memstore.Fault
		inUse bool
		kept  bool
	}{
		"confirmed":  {memstore.None, true, true},
		"refused":    {memstore.Refuse, true, false},
		"no answer":  {memstore.LoseAnswer, true, false},
		"not in use": {memstore.None, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
				h := &fakeHost{began: time.Now()}
				client := s.Client()
				client.SetFault(func(call string) memstore.Fault {
					if call == "held" {
						return c.fault
					}
					return memstore.None
				})
				m := New(store.Direct(store.Watch(client, h.clock)), "a:1", "1", 0.4, alwaysAlive, h.clock, zap.NewNop())
				m.InUse = func(int) bool { return c.inUse }
				go m.Run(ctx, func([]Tenure) {})
				time.Sleep(2 * time.Second)
				before := epochs(m)
				for range 3 {
					s.Reassign(Group) // to the only member again
				}
				time.Sleep(time.Second)
				for unit, epoch := range epochs(m) {
					is.Equal(epoch == before[unit], c.kept)
				}
			})
		})
	}
}
