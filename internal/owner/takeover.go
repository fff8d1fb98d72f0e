package owner

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// Kinds of records of a unit, by the prefix of their keys.
const (
	// SubmissionPrefix marks records written by the daemon that accepts a job.
	SubmissionPrefix = "s/"
	// CancelPrefix marks records written by the daemon that accepts a
	// cancellation.
	CancelPrefix = "c/"
	// progressPrefix marks records written by the owner alone.
	progressPrefix = "j/"
	// epochKey is the key of the record of the newest owner's epoch, in decimal. Each owner
	// writes it as it takes the unit over, so that a former one that still reads the unit's
	// records learns of it.
	epochKey = "e/owner"
)

// takeOver fences the former owner, loads the unit's records and returns the
// offset from which to follow them.
func (u *Unit) takeOver() (int64, bool) {
	begin := time.Now()
	if !u.retry("fence", u.commit.fence(u)) {
		return 0, false
	}
	var records []store.Record
	var from int64
	ok := u.retry("read", func() error {
		err := u.QueueUnits.Refresh(u.ctx, u.takenOverAt)
		if err != nil {
			return err
		}
		records, from, err = store.ReadNewest(u.ctx, u.Log, ownership.Topic, u.tenure.Unit)
		return err
	})
	if !ok {
		return 0, false
	}
	u.recordsReadAt = u.Clock()
	now := time.Now()
	u.load(records, now)
	u.loaded = true
	u.mergedOffset = from
	u.caughtUpAt = u.Clock()
	u.syncSessions(now)
	u.adoptPlaced()
	u.planDue = true
	u.Logger.Info("unit.taken_over", zap.Int("jobs", len(u.jobs)), zap.Int("records", len(records)), zap.Int("instances", len(u.sessions)), zap.Duration("took", time.Since(begin)))
	u.Meter.takeovers.Inc(1)
	return from, true
}

// retry repeats a call to the store until it succeeds or the unit is lost.
func (u *Unit) retry(callName string, call func() error) bool {
	failed := false
	for u.ctx.Err() == nil {
		err := call()
		if err == nil {
			return true
		}
		if errors.Is(err, store.ErrFenced) {
			u.lose("fenced in store call " + callName)
			return false
		}
		if !failed {
			u.Logger.Warn("store.call_failed", zap.String("call", callName), zap.Error(err))
		}
		failed = true
		pause.For(u.ctx, retryDelay)
	}
	return false
}

// load merges the newest records into jobs.
func (u *Unit) load(records []store.Record, now time.Time) {
	progress := progressByJob(records)
	for _, r := range records {
		if strings.HasPrefix(r.Key, SubmissionPrefix) {
			u.loadSubmission(r, progress, now)
		}
	}
	for _, r := range records {
		switch {
		case strings.HasPrefix(r.Key, CancelPrefix):
			u.applyRecord(r, now)
		case strings.HasPrefix(r.Key, lossPrefix):
			u.loadLoss(r)
		case r.Key == epochKey:
			u.applyEpoch(r.Value)
		}
	}
}

// storedProgress is the stored progress of a job: the head, and the parts by name.
type storedProgress struct {
	head  []byte
	parts map[string][]byte
}

// progressByJob returns the progress of jobs with a stored head. Parts are stored before
// their head, and starts are sent after both.
func progressByJob(records []store.Record) map[string]storedProgress {
	progress := map[string]storedProgress{}
	for _, r := range records {
		name, ok := strings.CutPrefix(r.Key, progressPrefix)
		if ok && !strings.Contains(name, partSeparator) {
			progress[name] = storedProgress{head: r.Value, parts: map[string][]byte{}}
		}
	}
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key, progressPrefix); ok {
			id, part, isPart := strings.Cut(name, partSeparator)
			if p, found := progress[id]; found && isPart {
				p.parts[part] = r.Value
			}
		}
	}
	return progress
}

func (u *Unit) loadSubmission(r store.Record, progress map[string]storedProgress, now time.Time) {
	e := u.addSubmission(r, now)
	if e == nil {
		id := strings.TrimPrefix(r.Key, SubmissionPrefix)
		_, mayHaveRun := progress[id]
		u.unreadable[id] = mayHaveRun
		return
	}
	stored, found := progress[e.job.ID()]
	if !found {
		u.requestAdmission(e)
		return
	}
	u.addToQueue(e.job.Submission.QueueRoute())
	if err := e.job.Restore(stored.head, stored.parts, now); err != nil {
		// A job whose progress can't be read must not run again, also when its
		// submission is read again.
		u.Logger.Error("job.progress_unreadable", zap.String("job", e.job.ID()), zap.Error(err))
		u.forget(e.job.ID())
		u.unreadable[e.job.ID()] = true
		return
	}
	e.recordedState = e.job.State()
	e.startRecorded = e.job.Started()
	// Without a number of its own the job's is that of its queue, which may not be known yet.
	if limit := e.job.Submission.MaxFailures; limit > 0 && e.job.FailIfExhausted(limit) {
		u.Logger.Info("job.exhausted_at_takeover", zap.String("job", e.job.ID()))
		u.markDirty(e)
	}
	if e.job.Finished() {
		e.finishedAt = now
	}
}

func (u *Unit) loadLoss(r store.Record) {
	id, l, err := decodeLoss(r)
	if err != nil {
		u.Logger.Error("loss.record_unreadable", zap.String("key", r.Key), zap.Error(err))
		return
	}
	u.contactLosses[id] = l
}

// follow merges the unit's records as they are appended.
func (u *Unit) follow(from int64) {
	failing := false
	for u.ctx.Err() == nil {
		wait := followWait
		if failing {
			// Doesn't wait for new records: the answer shows at once whether any were
			// written during the outage.
			wait = 0
		}
		batch, err := u.Log.Read(u.ctx, ownership.Topic, u.tenure.Unit, from, wait)
		switch {
		case errors.Is(err, store.ErrExpired):
			from = u.reread()
			continue
		case err != nil:
			if !failing && u.ctx.Err() == nil {
				u.Logger.Warn("dependency.lost", zap.String("topic", ownership.Topic), zap.Error(err))
			}
			failing = true
			pause.For(u.ctx, retryDelay)
			continue
		}
		if failing {
			u.Logger.Info("dependency.regained", zap.String("topic", ownership.Topic))
		}
		failing = false
		from = batch.Next
		at := u.Clock()
		u.post(func() {
			u.onRecords(batch.Records, batch.Next)
			if batch.Next >= batch.End {
				u.caughtUpAt = at
			}
		})
	}
}

// reread merges all newest records after the store has dropped some that
// weren't read.
func (u *Unit) reread() int64 {
	var records []store.Record
	var from int64
	ok := u.retry("read again", func() error {
		var err error
		records, from, err = store.ReadNewest(u.ctx, u.Log, ownership.Topic, u.tenure.Unit)
		return err
	})
	if ok {
		u.post(func() { u.onRecords(records, from) })
	}
	return from
}

func (u *Unit) onRecords(records []store.Record, next int64) {
	now := time.Now()
	for _, r := range records {
		u.applyRecord(r, now)
	}
	u.mergedOffset = max(u.mergedOffset, next)
}

// applyRecord merges a record that another daemon may have written. The owner's
// own records are skipped.
func (u *Unit) applyRecord(r store.Record, now time.Time) {
	switch {
	case len(r.Value) == 0:
	case strings.HasPrefix(r.Key, SubmissionPrefix):
		if e := u.addSubmission(r, now); e != nil {
			u.requestAdmission(e)
			u.applyEarlyCancel(e)
		}
	case strings.HasPrefix(r.Key, CancelPrefix):
		u.applyCancel(strings.TrimPrefix(r.Key, CancelPrefix), r.Value)
	case r.Key == epochKey:
		u.applyEpoch(r.Value)
	}
}

// applyEpoch gives the unit up if its newest owner is a later one: what that owner has
// recorded isn't known here.
func (u *Unit) applyEpoch(value []byte) {
	epoch, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		u.Logger.Error("epoch.record_unreadable", zap.ByteString("value", value), zap.Error(err))
		return
	}
	if epoch > u.tenure.Epoch {
		u.lose("the unit has had an owner of epoch " + strconv.FormatInt(epoch, 10))
	}
}

// addSubmission adds a job. It returns nil if the job is already known or a record
// of it is unreadable.
func (u *Unit) addSubmission(r store.Record, now time.Time) *entry {
	id := strings.TrimPrefix(r.Key, SubmissionPrefix)
	if u.jobs[id] != nil || u.unreadable[id] {
		return nil
	}
	s, err := job.DecodeSubmission(r.Value)
	if err != nil || s.ID != id {
		u.Logger.Error("job.record_unreadable", zap.String("key", r.Key), zap.Error(err))
		u.unreadable[id] = false
		return nil
	}
	delete(u.unreadable, id)
	if c := u.View.Catalog(); s.Route == "" && c != nil && c.Queues[s.Queue] != nil {
		// An earlier version stored it.
		s.Route = c.Queues[s.Queue].Route()
	}
	e := newEntry(s)
	u.addEntry(e)
	u.observeWork(e)
	u.observeArrival(e, now)
	u.planDue = true
	return e
}

// applyEarlyCancel cancels a job whose cancellation was read before it.
func (u *Unit) applyEarlyCancel(e *entry) {
	if u.earlyCancels[e.job.ID()] {
		delete(u.earlyCancels, e.job.ID())
		u.cancelJob(e)
	}
}

// addEntry adds a job to those that the unit keeps.
func (u *Unit) addEntry(e *entry) {
	u.keep(e)
	u.jobs[e.job.ID()] = e
	u.active[e.job.ID()] = e
}

// forget removes a job from those that the unit keeps.
func (u *Unit) forget(id string) {
	if e := u.jobs[id]; e != nil {
		u.drop(e)
	}
	delete(u.jobs, id)
	delete(u.active, id)
}

func newEntry(s *job.Submission) *entry {
	e := &entry{job: job.New(s), recordedState: job.Queued, timed: s.Occurrences > 0, totalWork: s.Work()}
	for _, step := range s.Steps {
		e.longRunning = e.longRunning || step.Lasting
	}
	return e
}

// applyCancel applies a cancellation whose value is the route of the queue that it was
// sent to, or another byte if a unit has passed it on.
func (u *Unit) applyCancel(id string, value []byte) {
	e := u.jobs[id]
	if e == nil {
		u.earlyCancels[id] = true
		if len(value) > 1 {
			u.passCancelOn(id, string(value))
		}
		return
	}
	u.cancelJob(e)
}

func (u *Unit) cancelJob(e *entry) {
	if e.unadmitted {
		e.cancelRequested = true
		return
	}
	if !e.job.Cancel() {
		return
	}
	u.Logger.Info("job.cancelled", zap.String("job", e.job.ID()))
	u.markDirty(e)
	u.stopPlaced(e, "cancelled")
}
