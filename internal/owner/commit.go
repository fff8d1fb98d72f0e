package owner

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// producer is the same for all owners of a unit, so that a higher epoch fences
// the lower ones.
const producer = "owner"

// commit is the unit's one append in flight, and the changes to record with the
// next one.
type commit struct {
	number   int64
	inFlight bool
	dirty    map[string]*entry
	// extraRecords are records of other kinds than the progress of changed jobs.
	extraRecords []store.Record
	// effects run on the unit's goroutine after the append of the changes made
	// before them.
	effects []func()
}

func (c *commit) init() { c.dirty = map[string]*entry{} }

// fence returns a call that sets the tenure's epoch at the unit's partition and records it
// there, which a store without free capacity doesn't.
func (c *commit) fence(u *Unit) func() error {
	epoch := store.Record{Key: epochKey, Value: strconv.AppendInt(nil, u.tenure.Epoch, 10)}
	return func() error {
		seq := &store.Sequence{Producer: producer, Epoch: u.tenure.Epoch}
		err := u.Log.Append(u.ctx, ownership.Topic, u.tenure.Unit, []store.Record{epoch}, seq)
		if err == nil {
			c.number = 1
		}
		if errors.Is(err, store.ErrFull) {
			err = u.Log.Append(u.ctx, ownership.Topic, u.tenure.Unit, nil, seq)
		}
		var sequence *store.SequenceError
		if errors.As(err, &sequence) {
			// The epoch is already set: an earlier try succeeded and its answer was
			// lost.
			return nil
		}
		return err
	}
}

func (u *Unit) markDirty(e *entry) { u.commit.dirty[e.job.ID()] = e }

// afterCommit runs an effect once all changes made so far are recorded.
func (u *Unit) afterCommit(effect func()) { u.commit.effects = append(u.commit.effects, effect) }

// flush appends the changes to the store, unless an append is in flight.
func (u *Unit) flush() {
	c := &u.commit
	if c.inFlight {
		return
	}
	u.renewLosses()
	if len(c.dirty) == 0 && len(c.effects) == 0 && len(c.extraRecords) == 0 {
		return
	}
	records, publishers := u.encodeDirty()
	effects := c.effects
	c.dirty, c.effects, c.extraRecords = map[string]*entry{}, nil, nil
	finish := func() {
		for _, publish := range publishers {
			publish()
		}
		for _, effect := range effects {
			effect()
		}
	}
	c.inFlight = true
	appends := u.Limits.Split(records)
	first := c.number
	c.number += int64(len(appends))
	go u.appendAll(appends, first, finish)
}

// appendAll makes appends in order, under consecutive sequence numbers, and then
// finishes the commit. Without records, one append confirms that no later owner exists.
func (u *Unit) appendAll(appends [][]store.Record, first int64, finish func()) {
	begin := time.Now()
	if len(appends) == 0 {
		appends = [][]store.Record{nil}
	}
	for n, records := range appends {
		seq := store.Sequence{Producer: producer, Epoch: u.tenure.Epoch, Number: first + int64(n)}
		if !u.append(records, seq) {
			return
		}
	}
	u.Meter.commit.RecordDuration(time.Since(begin))
	u.post(func() {
		u.commit.inFlight = false
		finish()
	})
}

// encodeDirty returns the records of changed jobs, and functions that publish
// their recorded states. A job's progress comes before its compacted submission, to
// which an earlier progress doesn't belong.
func (u *Unit) encodeDirty() ([]store.Record, []func()) {
	var records []store.Record
	var publishers []func()
	for _, e := range u.commit.dirty {
		records = u.appendProgress(records, e.job)
		if e.job.Finished() {
			records = u.appendCompacted(records, e)
		}
		state, started := e.job.State(), e.job.Started()
		publishers = append(publishers, func() { u.publishState(e, state, started) })
	}
	return append(records, u.commit.extraRecords...), publishers
}

// partSeparator stands between a job's ID and the name of a part in the keys of parts.
const partSeparator = "/"

// maxPartName is well over the length of a part's name.
const maxPartName = 40

func (u *Unit) appendProgress(records []store.Record, j *job.Job) []store.Record {
	key := progressPrefix + j.ID()
	for _, r := range j.Records(u.Limits.MaxValue(key) - maxPartName) {
		name := key
		if r.Part != "" {
			name += partSeparator + r.Part
		}
		records = append(records, store.Record{Key: name, Value: r.Value})
	}
	return records
}

// appendCompacted replaces a finished job's submission in the store, in the append
// that records its end: a successor reads the records of all jobs whose state is
// still shown, and the payloads of finished ones would be most of their bytes.
func (u *Unit) appendCompacted(records []store.Record, e *entry) []store.Record {
	compact := e.job.Compact()
	u.recount(e)
	data, err := job.EncodeSubmission(compact)
	if err != nil {
		u.Logger.Error("job.compact_failed", zap.String("job", e.job.ID()), zap.Error(err))
		return records
	}
	return append(records, store.Record{Key: SubmissionPrefix + e.job.ID(), Value: data})
}

func (u *Unit) publishState(e *entry, state job.State, started bool) {
	e.startRecorded = started
	if e.recordedState == state {
		return
	}
	e.recordedState = state
	u.Logger.Info("job.state", zap.String("job", e.job.ID()), zap.String("queue", e.job.Submission.Queue), zap.String("team", e.job.Submission.Team),
		zap.String("state", string(state)), zap.Int64("age_ms", time.Now().UnixMilli()-e.job.Submission.AcceptedAt))
	u.Meter.states[state].Inc(1)
}

// append retries one append, under its sequence number, until it succeeds or the
// unit is lost, which it returns. Without records it only confirms that no later owner
// exists: a restarted instance has no fence, and a former owner with nothing to record
// must not acknowledge ends there, since the instance would delete them.
func (u *Unit) append(records []store.Record, seq store.Sequence) bool {
	failed := false
	for u.ctx.Err() == nil {
		err := u.Log.Append(u.ctx, ownership.Topic, u.tenure.Unit, records, &seq)
		var sequence *store.SequenceError
		confirmed := len(records) == 0 && errors.As(err, &sequence)
		switch {
		case err == nil || confirmed:
			return true
		case errors.Is(err, store.ErrFenced):
			u.lose("fenced")
			return false
		case errors.As(err, &sequence):
			u.lose("sequence number rejected: " + err.Error())
			return false
		}
		if !failed {
			u.Logger.Warn("store.append_failed", zap.Int("records", len(records)), zap.Error(err))
		}
		failed = true
		pause.For(u.ctx, retryDelay)
	}
	return false
}
