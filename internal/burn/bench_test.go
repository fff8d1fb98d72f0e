package burn

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/beryltide/beryltide/internal/record"
)

// fullRecord returns one period's record of a daemon that has served every pool
// in every data centre at the size that the design targets, with bad answers in
// each.
func fullRecord(end time.Time) record.Burn {
	c := NewCounter(end.Add(-time.Minute))
	for pool := range 113 {
		for dc := range 5 {
			s := Source{fmt.Sprintf("service-%d", pool%20), fmt.Sprintf("dc%d", dc), fmt.Sprintf("pool-%d", pool)}
			for range 100 {
				c.Observe(s, Good)
			}
			c.Observe(s, Late)
		}
	}
	b, _ := c.Take(end)
	return b
}

// BenchmarkFoldFullSize folds one daemon's record into three days of history,
// and reports the sizes of the record and of the history in a checkpoint.
func BenchmarkFoldFullSize(b *testing.B) {
	h := NewHistory()
	for m := 72 * 6; m > 0; m-- {
		h = h.Add(fullRecord(now.Add(-time.Duration(m)*10*time.Minute)), anyService)
	}
	r := fullRecord(now)
	for b.Loop() {
		h.Add(r, anyService)
	}
	data, err := record.Encode(record.Envelope{ID: "x", Body: r})
	if err != nil {
		b.Fatal(err)
	}
	state, err := msgpack.Marshal(h.State())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "record-bytes")
	b.ReportMetric(float64(len(state)), "checkpoint-bytes")
}
