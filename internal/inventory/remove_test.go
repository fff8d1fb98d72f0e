package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	instances    = 100
	listInterval = time.Second
	horizon      = 15 * time.Minute
	never        = time.Duration(-1)
)

// TestRemove checks when the removal of instance i0 is first proposed, for
// lists that lag, flap, shrink and recover.
func TestRemove(t *testing.T) {
	cases := []struct {
		name string
		// missing returns how many instances, from i0 on, the list lacks.
		missing func(at time.Duration) int
		want    time.Duration
	}{
		{"all listed", func(time.Duration) int { return 0 }, never},
		{"one gone", func(time.Duration) int { return 1 }, removalDelay},
		{"a rack gone", func(time.Duration) int { return 4 }, removalDelay},
		{"flapping", func(at time.Duration) int {
			if at%(50*time.Second) == 0 {
				return 0
			}
			return 1
		}, never},
		{"empty for several minutes", func(at time.Duration) int {
			if at > time.Minute && at < 5*time.Minute {
				return instances
			}
			return 0
		}, never},
		{"a third gone permanently", func(time.Duration) int { return instances / 3 }, longRemovalDelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(firstRemoval(newFleet(), c.missing), c.want)
		})
	}
}

// TestRemovalIsCancelled checks that an instance that is listed again while it
// drains stays in the fleet.
func TestRemovalIsCancelled(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.Remove(instances, record.Remove{Instance: "i0", Version: f.Get("i0").Version})
	r := NewRemover(func() *listing.List { return listWithout(time.Unix(1, 0), 0) })
	v := &control.View{Snapshot: &controlstate.Snapshot{Fleet: f}}
	r.Publish(v)
	r.Report(time.Unix(1, 0), &record.Report{})
	want := record.Cancel{Instance: "i0", Version: f.Get("i0").Version}
	is.Equal(r.Propose(time.Unix(1, 0), v), []record.Body{want})
}

func newFleet() *fleet.Fleet {
	f := fleet.New()
	for i := range instances {
		f.Adopt(record.Offset(i), record.Adopt{Instance: fmt.Sprint("i", i), Pool: "p"})
	}
	return f
}

func listWithout(at time.Time, missing int) *listing.List {
	var all []platform.Listing
	for i := missing; i < instances; i++ {
		all = append(all, platform.Listing{Instance: fmt.Sprint("i", i), Role: platform.RoleWorker})
	}
	return listing.NewList(at, all)
}

func firstRemoval(f *fleet.Fleet, missing func(at time.Duration) int) time.Duration {
	start := time.Unix(1_000_000, 0)
	var list *listing.List
	r := NewRemover(func() *listing.List { return list })
	v := &control.View{Snapshot: &controlstate.Snapshot{Fleet: f}}
	r.Publish(v)
	for at := time.Duration(0); at < horizon; at += listInterval {
		now := start.Add(at)
		list = listWithout(now, missing(at))
		r.Report(now, &record.Report{})
		for _, b := range r.Propose(now, v) {
			if b, ok := b.(record.Remove); ok && b.Instance == "i0" {
				return at
			}
		}
	}
	return never
}
