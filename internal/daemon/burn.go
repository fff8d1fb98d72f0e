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

// Interval of the records of a daemon's counts: burnInterval, or
// burnIntervalPerMember times the number of members if that is longer, since every
// daemon reads the records of all.
const (
	burnInterval          = time.Minute
	burnIntervalPerMember = 10 * time.Second
)

// burnSource counts the outcomes of this daemon's requests and appends the counts
// to the log. It is safe for concurrent use.
type burnSource struct {
	dataCentre string
	view       func() *control.View
	counter    *burn.Counter
	// metrics records each outcome.
	metrics *metrics.Recorder
}

var _ control.Source = (*burnSource)(nil)

func newBurnSource(dataCentre string, view func() *control.View, m *metrics.Recorder) *burnSource {
	return &burnSource{dataCentre: dataCentre, view: view, counter: burn.NewCounter(time.Now()), metrics: m}
}

// Observe counts the outcome of one request, for the data centre and pool of the
// instance that ran it, or for this daemon's data centre and the queue's pool if
// the instance is unknown.
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

// Status returns the counts in the log and those not yet appended to it.
func (b *burnSource) Status() status.Burn {
	v := b.view()
	return status.Burn{
		Next:     int64(v.Next),
		Services: v.Document.Services,
		Folded:   v.Burn.State(),
		Pending:  b.counter.Pending(),
	}
}
