package dispatch

import (
	"math"
	"time"
)

// Outcome is the result of one attempt to run a job on an instance.
type Outcome struct {
	Instance string
	Team     string
	// Job identifies the work. It is the same for repeated attempts and
	// submissions.
	Job    string
	Failed bool
}

const (
	// excessDrift is how far the failure rate at an instance may exceed the
	// team's own rate before the instance's score rises.
	excessDrift = 0.25
	// excessSuspected and excessEjected are the scores from which an instance
	// gets one request at a time, and none.
	excessSuspected = 1.5
	excessEjected   = 4
	// rateWeight is the weight of a new outcome in a team's failure rate.
	rateWeight = 0.05
	// probationSuccesses is the number of successes that end a probation.
	probationSuccesses = 3
	// ejectionMin and ejectionMax bound the duration of an ejection, which
	// doubles each time a probation fails.
	ejectionMin = 5 * time.Second
	ejectionMax = 5 * time.Minute
	// maxEjectedFraction is the largest fraction of a pool that is ejected at
	// once. If more instances fail, the fault is not in single instances.
	maxEjectedFraction = 1.0 / 3
)

// Health tracks the health of the instances of one pool by the outcomes of all
// teams' work there.
//
// For each instance it sums how much more often work fails there than the same
// teams' work fails elsewhere (a CUSUM test). A team whose jobs all fail
// therefore ejects no instance, and an instance that fails fast is ejected
// before its low load attracts more work.
type Health struct {
	size      int
	instances map[string]*instanceState
	// rates are the failure rates of teams at instances that are not suspected.
	rates   map[string]float64
	jobs    *failedJobs
	ejected int
}

// instanceState is the health of one instance.
type instanceState struct {
	// excess is the CUSUM score of failures beyond the teams' own rates.
	excess float64
	// ejectedUntil is the end of the ejection, zero when not ejected.
	ejectedUntil time.Time
	// backoff is the duration of the next ejection.
	backoff time.Duration
	// probationLeft is the number of successes still needed to end a probation.
	probationLeft int
}

// NewHealth returns the health of a pool without observed outcomes.
func NewHealth() *Health {
	return &Health{instances: map[string]*instanceState{}, rates: map[string]float64{}, jobs: newFailedJobs()}
}

// SetSize sets the number of instances in the pool.
func (h *Health) SetSize(instances int) { h.size = instances }

// Remove drops the state of an instance.
func (h *Health) Remove(instance string) {
	if s, ok := h.instances[instance]; ok && !s.ejectedUntil.IsZero() {
		h.ejected--
	}
	delete(h.instances, instance)
}

// Runnable reports whether a job may be tried. A job that failed at several
// instances and succeeded at none is at fault itself, and callers refuse it
// with verdict.CodeUnrunnable.
func (h *Health) Runnable(job string, now time.Time) bool { return h.jobs.runnable(job, now) }

// Observe records the outcome of an attempt.
func (h *Health) Observe(o Outcome, now time.Time) {
	s := h.stateOf(o.Instance)
	if !o.Failed {
		h.recordSuccess(s, o)
		return
	}
	increment := 1 - h.rates[o.Team] - excessDrift
	if s.excess < excessSuspected {
		h.rates[o.Team] += rateWeight * (1 - h.rates[o.Team])
	}
	s.excess = max(0, s.excess+increment)
	if s.probationLeft > 0 {
		s.excess = excessEjected
	}
	if s.excess >= excessEjected {
		h.eject(s, now)
	}
	for _, p := range h.jobs.recordFailure(o.Job, o.Instance, increment, now) {
		h.retract(p)
	}
}

func (h *Health) recordSuccess(s *instanceState, o Outcome) {
	rate := h.rates[o.Team]
	h.jobs.recordSuccess(o.Job)
	h.rates[o.Team] = rate * (1 - rateWeight)
	s.excess = max(0, s.excess-rate-excessDrift)
	if s.probationLeft == 0 {
		return
	}
	s.probationLeft--
	if s.probationLeft == 0 {
		s.backoff = ejectionMin
	}
}

func (h *Health) eject(s *instanceState, now time.Time) {
	if !s.ejectedUntil.IsZero() || h.ejected >= h.maxEjected() {
		return
	}
	s.ejectedUntil = now.Add(s.backoff)
	s.backoff = min(2*s.backoff, ejectionMax)
	h.ejected++
}

func (h *Health) maxEjected() int { return int(math.Ceil(maxEjectedFraction * float64(h.size))) }

// retract subtracts a penalty from its instance's score, once the job is found
// to be at fault itself.
func (h *Health) retract(p penalty) {
	s, ok := h.instances[p.instance]
	if !ok {
		return
	}
	s.excess = max(0, s.excess-p.excess)
	if !s.ejectedUntil.IsZero() && s.excess < excessEjected {
		h.release(s)
	}
}

// release ends an ejection and begins the instance's probation.
func (h *Health) release(s *instanceState) {
	s.ejectedUntil = time.Time{}
	s.excess = 0
	s.probationLeft = probationSuccesses
	h.ejected--
}

// Admission returns how much work an instance may get by its health alone.
func (h *Health) Admission(instance string, now time.Time) Admission {
	s, ok := h.instances[instance]
	if !ok {
		return Open
	}
	if !s.ejectedUntil.IsZero() && !now.Before(s.ejectedUntil) {
		h.release(s)
	}
	switch {
	case !s.ejectedUntil.IsZero():
		return Closed
	case s.probationLeft > 0 || s.excess >= excessSuspected:
		return Probation
	default:
		return Open
	}
}

func (h *Health) stateOf(instance string) *instanceState {
	s, ok := h.instances[instance]
	if !ok {
		s = &instanceState{backoff: ejectionMin}
		h.instances[instance] = s
	}
	return s
}
