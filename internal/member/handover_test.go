package member

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/record"
)

// TestLostEpoch runs schedules of joins (+), leaves (-), reclaims (x) and
// reports of a completed hand-over by all members (=).
func TestLostEpoch(t *testing.T) {
	cases := []struct {
		schedule string
		lost     bool
	}{
		{"+a+b+c=xa", false},
		{"+a+b+c=xaxb", true},
		{"+a+b+c=xa=xb", false},
		{"+a+b+c=xa+dxd", true}, // d may have held what a had handed over
		{"+a+b=-a+c-b", false},
		{"+a=+bxa", true}, // a was the only holder
		{"+a=+bxb", false},
		{"+a=-a", true}, // no member was left to hand over to
		{"+a+b", false},
	}
	for _, c := range cases {
		t.Run(c.schedule, func(t *testing.T) {
			is := is.New(t)
			ms := New()
			for i, op := range c.schedule {
				at := record.Offset(i)
				var id record.MemberID
				if op != '=' && i+1 < len(c.schedule) {
					id = record.MemberID(c.schedule[i+1])
				}
				switch op {
				case '+':
					ms.Join(at, id, 1, record.Join{})
				case '-':
					ms.Remove(at, id)
				case 'x':
					ms.Reclaim(at, id)
				case '=':
					for _, m := range ms.IDs() {
						ms.Report(m, record.Report{HandedOver: ms.Epoch()})
					}
				}
			}
			is.Equal(ms.LostEpoch() > 0, c.lost)
			is.Equal(Restore(ms.State()).LostEpoch(), ms.LostEpoch())
		})
	}
}
