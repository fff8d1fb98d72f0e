package dispatch

import (
	"math"
	"time"
)

// Outcome is the end of one attempt to run a job at an instance.
type Outcome struct {
	Instance string
	Team     string
	// Job names what was run, alike for repeated attempts and submissions.
	Job    string
	Failed bool
}

const (
	// excessDrift is the failure rate above the team's own that an instance
	// may have without being suspected.
	excessDrift = 0.25
	// excessSuspected and excessEjected are the excess failures from which
	// an instance gets one request at a time, and none.
	excessSuspected = 1.5
	excessEjected   = 4
	// rateWeight is the weight of a new outcome in a team's failure rate.
	rateWeight = 0.05
	// probationSuccesses are the successes that end a probation.
	probationSuccesses = 3
	// ejectionMin and ejectionMax bound the time of an ejection, which
	// doubles each time that a probation fails.
	ejectionMin = 5 * time.Second
	ejectionMax = 5 * time.Minute
	// ejectedShare is the largest part of a pool that is ejected at once;
	// more than that failing is no fault of single instances.
	maxEjectedFraction = 1.0 / 3
)

// Health judges the instances of one pool by the outcomes of all teams there.
//
// For each instance it sums how much more often work fails there than the same
// teams' work fails elsewhere (a CUSUM test). So a team whose jobs all fail
// ejects nobody, and an instance that fails fast is ejected before its low
// load attracts more work.
type Health struct {
	size      int
	instances map[string]*instanceState
	// rates are the failure rates of teams at instances not suspected.
	rates   map[string]float64
	jobs    *failedJobs
	ejected int
}

type instanceState struct {
	excess float64
	// until is the end of the ejection; zero when not ejected.
	ejectedUntil time.Time
	// backoff is the time of the next ejection.
	backoff time.Duration
	// owed are the successes still needed to end a probation.
	probationLeft int
}

// NewHealth returns the judgement of a pool about which nothing is known.
func NewHealth() *Health {
	return &Health{instances: map[string]*instanceState{}, rates: map[string]float64{}, jobs: newFailedJobs()}
}

// SetSize tells how many instances the pool has.
func (h *Health) SetSize(instances int) { h.size = instances }

// Remove forgets an instance.
func (h *Health) Remove(instance string) {
	if s, ok := h.instances[instance]; ok && !s.ejectedUntil.IsZero() {
		h.ejected--
	}
	delete(h.instances, instance)
}

// Runnable tells whether a job may be tried: one that failed at several
// instances, and succeeded at none, is at fault itself and is refused with
// verdict.CodeUnrunnable.
func (h *Health) Runnable(job string, now time.Time) bool { return h.jobs.runnable(job, now) }

// Observe takes an outcome into account.
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

// acquit takes back what a job that is at fault itself counted against an
// instance.
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

// release begins the probation of an ejected instance.
func (h *Health) release(s *instanceState) {
	s.ejectedUntil = time.Time{}
	s.excess = 0
	s.probationLeft = probationSuccesses
	h.ejected--
}

// Admission tells how much work an instance may get for its health alone.
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
