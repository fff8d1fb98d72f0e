package daemon

import (
	"time"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/metrics"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/status"
)

// Times between two records of a daemon's counts. The time grows with the
// number of daemons, since every daemon reads the records of all.
const (
	burnInterval          = time.Minute
	burnIntervalPerMember = 10 * time.Second
)

// burnSource counts this daemon's requests and sums them into the log.
type burnSource struct {
	dataCentre string
	view       func() *control.View
	counter    *burn.Counter
	// metrics is told each outcome.
	metrics *metrics.Recorder
}

var _ control.Source = (*burnSource)(nil)

func newBurnSource(dataCentre string, view func() *control.View, m *metrics.Recorder) *burnSource {
	return &burnSource{dataCentre: dataCentre, view: view, counter: burn.NewCounter(time.Now()), metrics: m}
}

// Observe counts what became of one request. It is counted where it ran, or
// where it arrived when that isn't known.
func (b *burnSource) Observe(queue string, answer platform.Answer, err error, took time.Duration) {
	v := b.view()
	q, ok := v.Index.Queue(queue)
	if !ok {
		return
	}
	objective := v.Document.Services[q.Service].LatencyObjective.D()
	outcome, counts := burn.Classify(answer.Status, took, objective, err)
	if !counts {
		b.metrics.Request(queue, notCounted, took)
		return
	}
	b.metrics.Request(queue, outcome.String(), took)
	s := burn.Source{Service: q.Service, DataCentre: b.dataCentre, Pool: q.Pool}
	if inst := v.Fleet.Get(answer.Instance); inst != nil {
		s.DataCentre, s.Pool = inst.DataCentre, inst.Pool
	}
	b.counter.Observe(s, outcome)
}

// Next implements control.Source.
func (b *burnSource) Next(now time.Time, v *control.View, last bool) record.Body {
	period := max(burnInterval, time.Duration(v.Members.Len())*burnIntervalPerMember)
	if !last && now.Sub(b.counter.Start()) < period {
		return nil
	}
	r, ok := b.counter.Take(now)
	if !ok {
		return nil
	}
	return r
}

// Status returns the folded counts and those not yet summed into the log.
func (b *burnSource) Status() status.Burn {
	v := b.view()
	return status.Burn{
		Next:     int64(v.Next),
		Services: v.Document.Services,
		Folded:   v.Burn.State(),
		Pending:  b.counter.Pending(),
	}
}
