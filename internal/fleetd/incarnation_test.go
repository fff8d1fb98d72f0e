package fleetd

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a daemon that the store takes for its former process: it starts at the time of
// day at which that one did, after its clock was set back. It would get that one's units with
// the same epochs, and the store would take its appends for repeats.
func TestIncarnationDoesntDependOnTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		seen := map[string]bool{}
		for range 1000 {
			seen[newIncarnation()] = true
		}
		is.Equal(len(seen), 1000)
	})
}
