package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

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
