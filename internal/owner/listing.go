package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// onPoll applies the listing of a poll that was sent at the given time, or
// handles its error.
func (u *Unit) onPoll(sess *session, l instance.Listing, err error, sent time.Time) {
	if u.sessions[sess.reg.ID] != sess {
		return
	}
	now := time.Now()
	if err != nil {
		u.onPollFailed(sess, err, now)
		return
	}
	u.regain(sess, now)
	sess.lastContact = now
	if l.Unreadable > 0 {
		u.Logger.Warn("instance.rows_unreadable", zap.String("instance", sess.reg.ID), zap.Int("rows", l.Unreadable))
	}
	if !sent.Before(sess.restartedAt) {
		sess.restartedAt = time.Time{}
	}
	u.applyIncarnation(sess, l, now)
	if !sess.reconciled {
		sess.onFirstContact()
		sess.reconciled, sess.reconciledAt = true, now
		u.planDue = true
	}
	u.applyEnds(sess, l.Ended, now)
	u.applyRunning(sess, l.Running, now)
	if !l.MoreEnds {
		u.endUnlisted(sess, l.Running, sent, now)
	}
	u.throttleBackfill(sess, l.Running, now)
	if sess.lastApplied > sess.lastRecorded {
		u.acknowledge(sess, sess.lastApplied, sess.incarnation)
		return
	}
	sess.schedulePoll()
}

// acknowledge schedules a poll that acknowledges ends, once they are recorded.
// The incarnation that listed them may be gone by then.
func (u *Unit) acknowledge(sess *session, upTo, incarnation int64) {
	u.afterCommit(func() {
		if sess.incarnation == incarnation {
			sess.lastRecorded = max(sess.lastRecorded, upTo)
		}
		sess.schedulePoll()
	})
}

// applyIncarnation detects an instance that has restarted: it numbers its ends
// from 1, and the runs that are bound to the former incarnation are gone. The others are
// kept while the new one lists them: an owner of an earlier version may have started them
// there.
func (u *Unit) applyIncarnation(sess *session, l instance.Listing, now time.Time) {
	if l.Incarnation == sess.incarnation {
		return
	}
	if sess.incarnation != 0 {
		sess.onNewIncarnation()
	}
	sess.lastApplied, sess.lastRecorded, sess.strays = 0, 0, 0
	sess.incarnation, sess.restartedAt = l.Incarnation, time.Time{}
	if l.Incarnation == 0 {
		return // it tells none now
	}
	for id, r := range sess.runs {
		if r.bound && r.incarnation != l.Incarnation && !listsRun(l, id, r.number) {
			u.endWithIncarnation(sess, id, r, now)
		}
	}
}

// endWithIncarnation ends a run that can't exist any more, nor start.
func (u *Unit) endWithIncarnation(sess *session, id job.TaskID, r *run, now time.Time) {
	u.Logger.Info("run.lost_with_instance", zap.String("job", id.Job), zap.Int("run", r.number), zap.String("instance", sess.reg.ID))
	u.endRun(sess, id, job.EndLost, "", now)
}

// onRestarted handles an order that wasn't sent because its incarnation has ended. Nothing
// starts there until a later poll is answered.
func (s *session) onRestarted(incarnation int64, now time.Time) {
	if incarnation == s.incarnation {
		s.restartedAt = now
	}
}

// listsRun reports whether a listing contains a run, running or ended.
func listsRun(l instance.Listing, id job.TaskID, number int) bool {
	for _, t := range l.Running {
		if t.Task == id && t.Run == number {
			return true
		}
	}
	for _, t := range l.Ended {
		if t.Task == id && t.Run == number {
			return true
		}
	}
	return false
}

// applyEnds applies the listed ends that haven't been applied yet.
func (u *Unit) applyEnds(sess *session, ended []instance.EndedTask, now time.Time) {
	for _, end := range ended {
		if end.Number <= sess.lastApplied {
			continue
		}
		sess.lastApplied = end.Number
		r := sess.runs[end.Task]
		if r == nil || r.number != end.Run {
			u.onLateEnd(end, now)
			continue
		}
		u.observeOutcome(sess, r, end, now)
		u.endRun(sess, end.Task, end.How, end.Checkpoint, now)
	}
}

// runTime returns the known run time of a run; 0 if a former owner started it.
func (r *run) runTime(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// onLateEnd applies the completion of a run that was already given up.
func (u *Unit) onLateEnd(end instance.EndedTask, now time.Time) {
	e := u.jobs[end.Task.Job]
	if e == nil || end.How != job.EndDone {
		return
	}
	u.Logger.Info("run.late_end", zap.String("job", end.Task.Job), zap.Int("step", end.Task.Step), zap.Int("index", end.Task.Index), zap.Int("run", end.Run), zap.String("how", string(end.How)))
	u.applyResult(e, end.Task, end.Run, end.How, end.Checkpoint, now)
}

// endRun ends a recorded run.
func (u *Unit) endRun(sess *session, id job.TaskID, how job.End, checkpoint string, now time.Time) {
	r := sess.runs[id]
	r.withdraw()
	sess.removeRun(id)
	sess.idleSince = now
	u.planDue = true
	e := u.jobs[id.Job]
	if e == nil {
		return
	}
	u.allowances.remove(e.job.Submission, r.step)
	if how != job.EndDone && e.job.Active() {
		u.Logger.Info("run.ended", zap.String("job", id.Job), zap.Int("occurrence", id.Occurrence), zap.Int("step", id.Step), zap.Int("index", id.Index),
			zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.String("how", string(how)), zap.Duration("ran", r.runTime(now)))
	}
	u.Meter.ends[how].Inc(1)
	u.applyResult(e, id, r.number, how, checkpoint, now)
}

func (u *Unit) applyResult(e *entry, id job.TaskID, number int, how job.End, checkpoint string, now time.Time) {
	wasActive := e.job.Active()
	result := e.job.Ended(id, number, how, checkpoint, u.maxFailures(e.job.Submission), now)
	if !result.Changed {
		return
	}
	u.markDirty(e)
	u.planDue = true
	if result.StopAt != nil {
		u.stopRun(id, result.StopRun, result.StopAt.Instance, "completed elsewhere")
	}
	if e.job.Finished() {
		e.finishedAt = now
	}
	if wasActive && !e.job.Active() && !e.job.Finished() {
		u.stopPlaced(e, string(e.job.State()))
	}
}

// applyRunning updates the recorded runs that are listed as running, and stops
// listed runs that aren't recorded.
func (u *Unit) applyRunning(sess *session, running []instance.RunningTask, now time.Time) {
	sess.strays = 0
	for _, t := range running {
		r := sess.runs[t.Task]
		if r == nil || r.number != t.Run {
			sess.strays++
			u.stopStray(sess, t)
			continue
		}
		u.updateProgress(sess, r, t, now)
	}
}

// endUnlisted ends the recorded runs that are in neither list, once all ends have
// been listed. A start that may have been under way when the poll was sent is left
// to the next one.
func (u *Unit) endUnlisted(sess *session, running []instance.RunningTask, sent, now time.Time) {
	isListed := make(map[job.TaskID]bool, len(running))
	for _, t := range running {
		isListed[t.Task] = true
	}
	for id, r := range sess.runs {
		if isListed[id] || r.resolvedAt.IsZero() || !r.resolvedAt.Before(sent) {
			continue
		}
		u.Logger.Info("run.not_there", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index), zap.Int("run", r.number), zap.String("instance", sess.reg.ID))
		u.endRun(sess, id, job.EndLost, "", now)
	}
}

func (u *Unit) updateProgress(sess *session, r *run, t instance.RunningTask, now time.Time) {
	if r.resolvedAt.IsZero() {
		r.resolvedAt = now
	}
	if r.percentAt.IsZero() {
		u.checkIncarnation(sess, t, r)
	}
	// An earlier version's owner may have started it at another incarnation.
	r.bound = r.bound && r.incarnation == sess.incarnation
	r.incarnation = sess.incarnation
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if t.Percent != r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = t.Percent, now
	}
	if e := u.jobs[t.Task.Job]; e != nil {
		e.job.SaveCheckpoint(t.Task, t.Run, t.Checkpoint)
	}
	u.stopHung(sess, t.Task, r, now)
}

// checkIncarnation reports a run that another incarnation lists than the one for which
// its start was recorded.
func (u *Unit) checkIncarnation(sess *session, t instance.RunningTask, r *run) {
	if r.incarnation == 0 || r.incarnation == sess.incarnation {
		return
	}
	u.Meter.misdirected.Inc(1)
	u.Logger.Warn("run.misdirected", zap.String("job", t.Task.Job), zap.Int("step", t.Task.Step), zap.Int("index", t.Task.Index), zap.Int("run", r.number),
		zap.String("instance", sess.reg.ID), zap.Int64("recorded", r.incarnation), zap.Int64("incarnation", sess.incarnation))
}

// Limits for hung tasks and for instances with failures.
const (
	// hungMinTime is the shortest time without progress after which a task counts
	// as hung. It spans two polls.
	hungMinTime = 2500 * time.Millisecond
	// hungPercentSteps is how many times the average time per percent a task may
	// take without progress before it counts as hung.
	hungPercentSteps = 3
	// hungEstimateFraction is the part of its estimate within which a task must
	// show its first percent of progress. Estimates are up to ten times too short.
	hungEstimateFraction = 0.3
	// suspectFailures is the number of consecutive failures after which an
	// instance is the last choice for tasks.
	suspectFailures = 2
	// suspectDuration is how long it stays the last choice after its last failure.
	suspectDuration = 6 * time.Second
)

// stopHung stops a task that makes no progress.
func (u *Unit) stopHung(sess *session, id job.TaskID, r *run, now time.Time) {
	if r.stopping || r.step.Gang || r.pacePercent != fullPace || now.Sub(r.percentAt) < r.progressTimeout() {
		return
	}
	if r.step.Lasting && r.percent >= servingPercent {
		return
	}
	sess.failStreak = max(sess.failStreak+1, suspectFailures)
	sess.failedAt = now
	u.Logger.Warn("run.hung", zap.String("job", id.Job), zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.Int("percent", r.percent), zap.Duration("without_progress", now.Sub(r.percentAt)))
	u.sendStop(sess, id, r, "hung")
}

// progressTimeout returns how long the run may show no progress.
func (r *run) progressTimeout() time.Duration {
	if r.percent > 0 {
		perPercent := r.percentAt.Sub(r.startedAt) / time.Duration(r.percent)
		return max(hungMinTime, hungPercentSteps*perPercent)
	}
	return max(hungMinTime, time.Duration(hungEstimateFraction*float64(r.step.Estimate)))
}

// servingPercent is the progress of a long-running task that serves.
const servingPercent = 100

// observeOutcome counts failures of an instance, and updates the average task
// duration.
func (u *Unit) observeOutcome(sess *session, r *run, end instance.EndedTask, now time.Time) {
	switch end.How {
	case job.EndDone:
		sess.failStreak = 0
		u.observeDuration(end.Task, r, now)
	case job.EndFailed:
		if e := u.jobs[end.Task.Job]; e != nil && e.job.Task(end.Task) != nil && e.job.Task(end.Task).Failures > 0 {
			// It has failed elsewhere too, so the cause is more likely the task.
			return
		}
		sess.countFailure(now)
	}
}

// countFailure counts a task that failed there, or a start without an answer.
func (s *session) countFailure(now time.Time) {
	s.failStreak++
	s.failedAt = now
}

func (s *session) suspect(now time.Time) bool {
	return s.failStreak >= suspectFailures && now.Sub(s.failedAt) < suspectDuration
}
