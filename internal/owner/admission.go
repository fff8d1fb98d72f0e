package owner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// Admission answers this load pattern: operators send a queue to another pool while
// its jobs run, and callers submit, look up and cancel jobs that the former pool's
// unit holds. A job stays with the unit that first took it. A unit that reads a new
// submission of a queue of which other units have taken jobs asks their owners for
// the job, and starts it only if none of them has it.

const (
	// admissionRetryDelay is the delay before other units are asked again.
	admissionRetryDelay = 100 * time.Millisecond
	// queueUnitsAge is how old the known units of a queue may be that this unit has
	// taken no jobs of.
	queueUnitsAge = time.Second
)

// Standing is how far a unit has got with a job.
type Standing int

// The standings. Their numbers are sent.
const (
	// Absent means that the unit has no such job.
	Absent Standing = iota
	// Pending means that the unit is asking other units for it.
	Pending
	// Admitted means that the unit runs the job, or has run it.
	Admitted
)

// StandingQuery asks a unit for jobs of a queue that another unit has read.
type StandingQuery struct {
	Route string
	// From is the unit that asks.
	From int
	IDs  []string
}

// Peers asks the owners of other units.
type Peers interface {
	// Standings returns the standings of the query's jobs at a unit, by ID.
	Standings(ctx context.Context, unit int, q StandingQuery) (map[string]Standing, error)
}

// requestAdmission holds a new job back if another unit may have it.
func (u *Unit) requestAdmission(e *entry) {
	route := e.job.Submission.QueueRoute()
	if units := u.QueueUnits.Units(route); len(units) == 1 && units[0] == u.tenure.Unit {
		return
	}
	e.unadmitted = true
	u.checkAdmission(route)
}

// addToQueue records that this unit has jobs of a queue.
func (u *Unit) addToQueue(route string) {
	if !slices.Contains(u.QueueUnits.Units(route), u.tenure.Unit) {
		u.checkAdmission(route)
	}
}

// checkAdmission asks the other units of a queue for its jobs that are held back.
func (u *Unit) checkAdmission(route string) {
	if u.checkingQueues[route] {
		return
	}
	u.checkingQueues[route] = true
	query := StandingQuery{Route: route, From: u.tenure.Unit}
	for id, e := range u.jobs {
		if e.unadmitted && e.job.Submission.QueueRoute() == route {
			query.IDs = append(query.IDs, id)
		}
	}
	go func() {
		found, err := u.askOthers(query)
		if err != nil {
			u.Logger.Warn("admission.waiting", zap.Int("jobs", len(query.IDs)), zap.Error(err))
			pause.For(u.ctx, admissionRetryDelay)
		}
		u.post(func() { u.onStandings(query, found, err) })
	}()
}

// askOthers adds this unit to a query's queue and returns the standings of the jobs
// at each other unit.
func (u *Unit) askOthers(q StandingQuery) (map[int]map[string]Standing, error) {
	if err := u.QueueUnits.Add(u.ctx, q.Route, q.From); err != nil {
		return nil, err
	}
	found := map[int]map[string]Standing{}
	for _, unit := range u.others(q.Route) {
		standings, err := u.Peers.Standings(u.ctx, unit, q)
		if err != nil {
			return nil, errors.Wrapf(err, "unit %d", unit)
		}
		found[unit] = standings
	}
	return found, nil
}

// onStandings admits the jobs that no other unit has, and drops those that another
// unit has admitted. Of two units that ask each other, the one with the lower number
// waits for the other one's decision, and the other one drops the job.
func (u *Unit) onStandings(q StandingQuery, found map[int]map[string]Standing, err error) {
	delete(u.checkingQueues, q.Route)
	if err != nil {
		u.checkAdmission(q.Route)
		return
	}
	for _, id := range q.IDs {
		e := u.jobs[id]
		if e == nil || !e.unadmitted {
			continue
		}
		taken, wait := false, false
		for unit, standings := range found {
			taken = taken || standings[id] == Admitted || standings[id] == Pending && unit < u.tenure.Unit
			wait = wait || standings[id] == Pending
		}
		switch {
		case taken:
			u.dropDuplicate(e)
		case !wait:
			u.admit(e)
		}
	}
	u.checkHeldBack(q)
}

// checkHeldBack asks again if jobs of a queue are still held back: at once for those
// read since the query, later for those that another unit hasn't decided on.
func (u *Unit) checkHeldBack(q StandingQuery) {
	undecided := slices.ContainsFunc(q.IDs, func(id string) bool { return u.jobs[id] != nil && u.jobs[id].unadmitted })
	for _, e := range u.jobs {
		if !e.unadmitted || e.job.Submission.QueueRoute() != q.Route {
			continue
		}
		if undecided {
			time.AfterFunc(admissionRetryDelay, func() { u.post(func() { u.checkAdmission(q.Route) }) })
		} else {
			u.checkAdmission(q.Route)
		}
		return
	}
}

func (u *Unit) admit(e *entry) {
	e.unadmitted = false
	u.planDue = true
	if e.cancelRequested {
		u.cancelJob(e)
	}
}

// dropDuplicate forgets a job that another unit has, here and in the store.
func (u *Unit) dropDuplicate(e *entry) {
	id := e.job.ID()
	u.Logger.Info("job.taken_elsewhere", zap.String("job", id), zap.String("queue", e.job.Submission.Queue))
	u.forget(id)
	u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: SubmissionPrefix + id})
	if e.cancelRequested {
		u.passCancelOn(id, e.job.Submission.QueueRoute())
	}
}

// passCancelOn appends a cancellation to the other units of a queue: one of them may
// hold the job. A cancellation that is passed on names no queue, so it isn't passed on
// again.
func (u *Unit) passCancelOn(id, route string) {
	since := u.Clock()
	go func() {
		for u.ctx.Err() == nil && u.learnOthers(u.ctx, route, since) != nil {
			pause.For(u.ctx, retryDelay)
		}
		for _, unit := range u.others(route) {
			record := []store.Record{{Key: CancelPrefix + id, Value: []byte{1}}}
			for u.ctx.Err() == nil && u.Log.Append(u.ctx, ownership.Topic, unit, record, nil) != nil {
				pause.For(u.ctx, retryDelay)
			}
			u.Logger.Info("job.cancel_passed_on", zap.String("job", id), zap.Int("to", unit))
		}
	}()
}

// others returns the other units that have taken jobs of a queue.
func (u *Unit) others(route string) []int {
	return slices.DeleteFunc(u.QueueUnits.Units(route), func(unit int) bool { return unit == u.tenure.Unit })
}

// learnOthers reads the units of a queue unless they have been read since a time on
// the boot clock. A unit that has taken jobs of the queue knows them: it read those
// added before it, and those added later have asked it.
func (u *Unit) learnOthers(ctx context.Context, route string, since time.Duration) error {
	if slices.Contains(u.QueueUnits.Units(route), u.tenure.Unit) {
		return nil
	}
	return u.QueueUnits.Refresh(ctx, since)
}

// Standings returns how far this unit has got with jobs that another unit has read.
// Jobs of the queue that this unit reads from now on wait until it has asked that unit.
func (u *Unit) Standings(ctx context.Context, q StandingQuery) (map[string]Standing, error) {
	u.QueueUnits.Learn(q.Route, q.From)
	found, err := u.lookUpStandings(ctx, q)
	if err != nil || len(found) == len(q.IDs) {
		return found, err
	}
	if err := u.readToEnd(ctx); err != nil {
		return nil, ErrNotReady
	}
	return u.lookUpStandings(ctx, q)
}

func (u *Unit) lookUpStandings(ctx context.Context, q StandingQuery) (map[string]Standing, error) {
	return ask(ctx, u, func() (map[string]Standing, error) {
		if !u.holds() || !u.loaded {
			return nil, ErrNotReady
		}
		found := map[string]Standing{}
		for _, id := range q.IDs {
			e := u.jobs[id]
			_, unreadable := u.unreadable[id]
			switch {
			case unreadable || e != nil && !e.unadmitted && e.job.Submission.QueueRoute() == q.Route:
				found[id] = Admitted
			case e != nil && e.unadmitted:
				found[id] = Pending
			}
		}
		return found, nil
	})
}
