package dispatch

// Cost is the size of a request in thousandths of a slot.
type Cost int

// Slot is the cost of a request that needs just what one slot stands for.
const Slot Cost = 1000

const (
	// smoothing is the weight of a new report in the means of an instance.
	// Reports lag by an unknown time, so means are compared, not values.
	smoothing = 0.1
	// stepSize is the part of the error that one report corrects.
	learningRate = 0.1
	// warmReports is the number of reports before an instance's means count.
	minReports = 20
)

// Sizes learns what one request of each queue uses, from the usage reports of
// instances, by normalised least mean squares.
type Sizes struct {
	// use is the fraction of an instance that one request of a queue uses.
	use       map[string]float64
	instances map[string]*instanceMeans
}

type instanceMeans struct {
	running map[string]float64
	use     float64
	reports int
}

// NewSizes returns estimates about which nothing is known.
func NewSizes() *Sizes {
	return &Sizes{use: map[string]float64{}, instances: map[string]*instanceMeans{}}
}

// Remove forgets the means of an instance.
func (s *Sizes) Remove(instance string) { delete(s.instances, instance) }

// Report takes in one usage report. running counts the requests by queue that
// run at the instance now, as far as the caller knows; total is the report's
// own count, which includes other daemons' requests; use is the larger of the
// fractions of processor and memory in use.
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

// add updates the means. Requests of other daemons are taken to be of the
// same mix as the caller's own.
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

// Cost returns the cost of a request of a queue at instances of the given
// slots: at least one slot, at most a whole instance.
func (s *Sizes) Cost(queue string, slots int) Cost {
	whole := Cost(slots) * Slot
	learned := Cost(s.use[queue] * float64(whole))
	return min(max(learned, Slot), max(whole, Slot))
}
