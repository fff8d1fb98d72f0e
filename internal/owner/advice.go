package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/schedule"
)

// Limits on requests for advice.
const (
	// adviceBatch is how many instances one request names. The response time grows
	// with each, and the advisor accepts at most 100.
	adviceBatch = 30
	// adviceRetryDelay is the shortest time between two requests for one step.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is subtracted from a ticket's validity to allow for the time
	// that a start takes to arrive.
	ticketMargin = 300 * time.Millisecond
)

// Advice lists the instances that may run a step, with a ticket for each. Valid
// is how long the tickets can be used, from the request on.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Advisor returns which instances a queue's policy allows to run a step.
type Advisor interface {
	Advise(ctx context.Context, step StepID, instances []string) (Advice, error)
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// stepAdvice is the advice received for one step: the tickets by instance, and
// the incarnations of the instances already queried.
type stepAdvice struct {
	tickets     map[string]ticket
	requested   map[string]int64
	inFlight    bool
	requestedAt time.Time
}

// ticket is valid at one incarnation of an instance.
type ticket struct {
	text        string
	incarnation int64
	until       time.Time
}

// validTickets returns the valid tickets of a step by instance, and requests
// more advice if there are fewer than waiting tasks.
func (u *Unit) validTickets(c *schedule.Candidate, pool string, now time.Time) map[string]string {
	id := StepID{Job: c.Job, Occurrence: c.Occurrence, Step: c.Number}
	a := u.advice[id]
	if a == nil {
		a = &stepAdvice{tickets: map[string]ticket{}, requested: map[string]int64{}}
		u.advice[id] = a
	}
	valid := map[string]string{}
	for instance, t := range a.tickets {
		if now.Before(t.until) && t.incarnation == u.incarnationOf(instance) {
			valid[instance] = t.text
		}
	}
	if !a.inFlight && now.Sub(a.requestedAt) >= adviceRetryDelay && len(valid) < len(c.Tasks) {
		u.requestAdvice(id, a, u.adviceTargets(a, pool, now), now)
	}
	return valid
}

// adviceTargets returns the instances to query, at most adviceBatch: first
// those allowed before, since the policy's answer doesn't change and only the
// ticket has expired, then those not queried yet. An instance that has restarted may be of
// another kind.
func (u *Unit) adviceTargets(a *stepAdvice, pool string, now time.Time) []string {
	var allowed, unqueried []string
	for _, n := range u.nodes(pool, now) {
		if _, known := a.tickets[n.ID]; known {
			allowed = append(allowed, n.ID)
		} else if incarnation, known := a.requested[n.ID]; !known || incarnation != u.incarnationOf(n.ID) {
			unqueried = append(unqueried, n.ID)
		}
	}
	slices.Sort(allowed)
	slices.Sort(unqueried)
	names := append(allowed, unqueried...)
	return names[:min(len(names), adviceBatch)]
}

func (u *Unit) requestAdvice(id StepID, a *stepAdvice, names []string, now time.Time) {
	if len(names) == 0 {
		// No instance is left to query. Those that register later are queried then.
		return
	}
	a.inFlight, a.requestedAt = true, now
	incarnations := make(map[string]int64, len(names))
	for _, name := range names {
		incarnations[name] = u.incarnationOf(name)
	}
	go func() {
		advice, err := u.Advisor.Advise(u.ctx, id, names)
		u.post(func() { u.onAdvice(id, a, incarnations, advice, err, now) })
	}()
}

// incarnationOf returns the incarnation of an instance that answered last; 0 if none has.
func (u *Unit) incarnationOf(id string) int64 {
	if sess := u.sessions[id]; sess != nil {
		return sess.incarnation
	}
	return 0
}

// onAdvice handles the answer to a request that named instances, given with their
// incarnations at that time.
func (u *Unit) onAdvice(id StepID, a *stepAdvice, asked map[string]int64, advice Advice, err error, requestedAt time.Time) {
	a.inFlight = false
	if err != nil {
		u.Logger.Warn("advice.failed", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("instances", len(asked)), zap.Error(err))
		return
	}
	maps.Copy(a.requested, asked)
	for instance, text := range advice.Tickets {
		a.tickets[instance] = ticket{text: text, incarnation: asked[instance], until: requestedAt.Add(advice.Valid - ticketMargin)}
	}
	u.Logger.Info("advice.received", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("asked", len(asked)), zap.Int("good", len(advice.Tickets)), zap.Duration("valid", advice.Valid))
	u.planDue = true
}

// dropAdvice removes the advice for a job's steps.
func (u *Unit) dropAdvice(job string) {
	for id := range u.advice {
		if id.Job == job {
			delete(u.advice, id)
		}
	}
}
