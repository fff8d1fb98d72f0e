// Package burn counts requests by service, outcome and source, and computes how
// fast the bad ones use up each service's error budget.
//
// It classifies outcomes, counts them, folds the counts of all daemons and
// reports burn rates and alerts. It does no I/O and reads no clock: callers pass
// the time.
package burn

import (
	"time"

	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

// firstServerError is the lowest HTTP status that counts as a failure of the
// service.
const firstServerError = 500

// Outcome is the result of one request for the service's objectives.
type Outcome uint8

// Outcomes of requests.
const (
	// Good is a complete answer within the latency objective.
	Good Outcome = iota
	// Late is a complete answer that took longer than the latency objective.
	Late
	// Failed is a task that ran and failed, or whose answer was lost.
	Failed
	// Refused is a task that didn't run, for a reason other than the caller's
	// fault or the deadline.
	Refused
	// TimedOut is a request whose deadline passed.
	TimedOut
	// MayHaveRun is a request whose task may or may not have run.
	MayHaveRun
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	switch o {
	case Good:
		return "good"
	case Late:
		return "late"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	case TimedOut:
		return "timed-out"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "unknown"
	}
}

// Classify returns the outcome of a request, from its status or error and the
// time that it took. It returns false for a request that doesn't count towards
// the objectives: one that failed by the caller's fault, because the caller
// disconnected or because of the team's limit, a repeat of a request counted
// before, and a task that no instance can run.
func Classify(status int, took, objective time.Duration, err error) (Outcome, bool) {
	switch {
	case err == nil && status >= firstServerError:
		return Failed, true
	case err == nil && took > objective:
		return Late, true
	case err == nil:
		return Good, true
	}
	switch verdict.CodeOf(err) {
	case verdict.CodeBadRequest, verdict.CodeBodyTooLarge, verdict.CodeBodyTimeout, verdict.CodeUnknownQueue,
		verdict.CodeUnauthorized, verdict.CodeKeyReused, verdict.CodeInProgress, verdict.CodeCancelled, verdict.CodeLimit,
		verdict.CodeAlreadyRan, verdict.CodeOutcomeUnknown, verdict.CodeUnrunnable:
		return Good, false
	case verdict.CodeDeadline:
		return TimedOut, true
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		return Refused, true
	case verdict.Ran:
		return Failed, true
	default:
		return MayHaveRun, true
	}
}

// Source is the place to which requests are attributed. DataCentre and Pool are
// empty in a service's own count.
type Source struct {
	Service    string
	DataCentre string
	Pool       string
}

// Counts are numbers of requests by outcome.
type Counts struct {
	Good       int64 `json:"good" msgpack:"g"`
	Late       int64 `json:"late" msgpack:"l"`
	Failed     int64 `json:"failed" msgpack:"f"`
	Refused    int64 `json:"refused" msgpack:"r"`
	TimedOut   int64 `json:"timedOut" msgpack:"t"`
	MayHaveRun int64 `json:"mayHaveRun" msgpack:"m"`
}

// Bad returns the number of requests that use up the error budget.
func (c Counts) Bad() int64 { return c.Late + c.Failed + c.Refused + c.TimedOut + c.MayHaveRun }

// Total returns the number of all requests.
func (c Counts) Total() int64 { return c.Good + c.Bad() }

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Good:       c.Good + o.Good,
		Late:       c.Late + o.Late,
		Failed:     c.Failed + o.Failed,
		Refused:    c.Refused + o.Refused,
		TimedOut:   c.TimedOut + o.TimedOut,
		MayHaveRun: c.MayHaveRun + o.MayHaveRun,
	}
}

// Rate returns the burn rate under an availability objective: the fraction of bad
// requests over the fraction that the objective allows. At a rate of 1 the error
// budget is used up exactly. The rate is 0 without requests.
func (c Counts) Rate(objective float64) float64 {
	if c.Total() == 0 || objective >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) / (1 - objective)
}

func (c *Counts) add(o Outcome) {
	switch o {
	case Good:
		c.Good++
	case Late:
		c.Late++
	case Failed:
		c.Failed++
	case Refused:
		c.Refused++
	case TimedOut:
		c.TimedOut++
	case MayHaveRun:
		c.MayHaveRun++
	}
}

func countsFrom(b record.BurnCount) Counts {
	return Counts{
		Good:       max(0, b.Good),
		Late:       max(0, b.Late),
		Failed:     max(0, b.Failed),
		Refused:    max(0, b.Refused),
		TimedOut:   max(0, b.TimedOut),
		MayHaveRun: max(0, b.MayHaveRun),
	}
}

func toRecord(s Source, c Counts) record.BurnCount {
	return record.BurnCount{
		Service:    s.Service,
		DataCentre: s.DataCentre,
		Pool:       s.Pool,
		Good:       c.Good,
		Late:       c.Late,
		Failed:     c.Failed,
		Refused:    c.Refused,
		TimedOut:   c.TimedOut,
		MayHaveRun: c.MayHaveRun,
	}
}
