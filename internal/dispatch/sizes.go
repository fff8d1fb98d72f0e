package dispatch

// Cost is the size of a request in thousandths of a slot.
type Cost int

// Slot is the cost of a request that uses exactly one slot.
const Slot Cost = 1000

const (
	// smoothing is the weight of a new report in an instance's moving averages.
	// Reports lag by an unknown time, so averages are compared instead of
	// single values.
	smoothing = 0.1
	// learningRate is the fraction of the prediction error that one report
	// corrects.
	learningRate = 0.1
	// minReports is the number of reports before an instance's averages are
	// used.
	minReports = 20
)

// Sizes learns the fraction of an instance that one request of each queue uses,
// from the usage reports of instances, by normalized least mean squares (NLMS).
type Sizes struct {
	// use is the fraction of an instance that one request of a queue uses.
	use       map[string]float64
	instances map[string]*instanceMeans
}

// instanceMeans are the moving averages of an instance's usage and of its
// running requests by queue.
type instanceMeans struct {
	running map[string]float64
	use     float64
	reports int
}

// NewSizes returns estimates without observations.
func NewSizes() *Sizes {
	return &Sizes{use: map[string]float64{}, instances: map[string]*instanceMeans{}}
}

// Remove drops the averages of an instance.
func (s *Sizes) Remove(instance string) { delete(s.instances, instance) }

// Report processes one usage report. running counts the requests by queue that
// run on the instance now, as far as the caller knows. total is the count in
// the report, which includes the requests of other daemons. use is the larger
// of the fractions of processor and memory in use.
func (s *Sizes) Report(instance string, running map[string]int, total int, use float64) {
	mean, ok := s.instances[instance]
	if !ok {
		mean = &instanceMeans{running: map[string]float64{}}
		s.instances[instance] = mean
	}
	mean.add(running, total, use)
	if mean.reports >= minReports {
		s.learn(mean)
	}
}

// add updates the averages. The requests of other daemons are assumed to have
// the same mix of queues as the caller's own.
func (m *instanceMeans) add(running map[string]int, total int, use float64) {
	own := 0
	for _, n := range running {
		own += n
	}
	scale := 1.0
	if own > 0 && total > own {
		scale = float64(total) / float64(own)
	}
	for queue := range m.running {
		m.running[queue] *= 1 - smoothing
	}
	for queue, n := range running {
		m.running[queue] += smoothing * scale * float64(n)
	}
	m.use += smoothing * (use - m.use)
	m.reports++
}

func (s *Sizes) learn(m *instanceMeans) {
	expected, norm := 0.0, 0.0
	for queue, n := range m.running {
		expected += n * s.use[queue]
		norm += n * n
	}
	if norm == 0 {
		return
	}
	step := learningRate * (m.use - expected) / norm
	for queue, n := range m.running {
		s.use[queue] = max(0, s.use[queue]+step*n)
	}
}

// Cost returns the cost of a request of a queue at instances with the given
// number of slots: at least one slot, at most a whole instance.
func (s *Sizes) Cost(queue string, slots int) Cost {
	whole := Cost(slots) * Slot
	learned := Cost(s.use[queue] * float64(whole))
	return min(max(learned, Slot), max(whole, Slot))
}
