package jobbudget

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Jobs that are asked for together, before any is stored, must not pass the limit
// together, and memory set aside for a job that is never stored must come back.
func TestPromises(t *testing.T) {
	is := is.New(t)
	b, now := New(100), time.Unix(0, 0)
	admitted := 0
	for n := range 20 {
		if b.Admit(strconv.Itoa(n), 10, now) {
			admitted++
		}
	}
	is.Equal(admitted, 10)
	b.Keep("0", 10) // counted once
	is.True(!b.Admit("20", 10, now))
	is.True(b.Admit("1", 10, now)) // a repeat takes the place of the first attempt
	now = now.Add(promiseTime + 1)
	is.True(b.Admit("20", 90, now))
	b.Drop(10)
	is.True(b.Admit("21", 10, now))
	kept, refused := b.Stats()
	is.Equal(kept, int64(0))
	is.Equal(refused, int64(11))
}
