package watch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/record"
)

func TestWatcherOfInstanceIsStableWhenAnotherMemberLeaves(t *testing.T) {
	is := is.New(t)
	members := []record.MemberID{"a", "b", "c", "d"}
	parts := map[record.MemberID]int{}
	for i := range 400 {
		name := fmt.Sprintf("worker-%03d", i)
		w := watcherOf(name, members)
		parts[w]++
		if w != "d" {
			is.Equal(watcherOf(name, members[:3]), w)
		}
	}
	for _, m := range members {
		is.True(parts[m] > 50) // no member is left out
	}
}
