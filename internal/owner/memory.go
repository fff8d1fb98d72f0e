package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ErrFull reports that the owner has no memory for a job.
var ErrFull = errors.New("the memory for jobs is full")

// Admit reports whether a large job of a size, in bytes of memory, may be stored in the
// unit: nil if it may, ErrFull if the owner's memory for jobs is used up, and ErrNotReady if
// the unit can't tell. A job that is stored already is always admitted, so that a
// repeat of its submission isn't refused.
func (u *Unit) Admit(ctx context.Context, id string, size int64) error {
	if known, err := u.knows(ctx, id); known || err != nil {
		return err
	}
	if u.Jobs.Admit(id, size, time.Now()) {
		return nil
	}
	if err := u.readToEnd(ctx); err != nil {
		return ErrNotReady
	}
	if known, err := u.knows(ctx, id); known || err != nil {
		return err
	}
	u.Logger.Warn("jobs.memory_full", zap.String("job", id), zap.Int64("bytes", size))
	return ErrFull
}

// knows reports whether the unit has a job. It returns ErrNotReady if it can't tell.
func (u *Unit) knows(ctx context.Context, id string) (bool, error) {
	_, err := u.lookUp(ctx, id, "")
	if errors.Is(err, ErrNoJob) {
		return false, nil
	}
	return err == nil, err
}

// keep counts a job's memory, drop gives it back.
func (u *Unit) keep(e *entry) {
	e.memory = e.job.Submission.SizeWithTasks()
	u.Jobs.Keep(e.job.ID(), e.memory)
	u.memory += e.memory
}

func (u *Unit) drop(e *entry) {
	u.Jobs.Drop(e.memory)
	u.memory -= e.memory
}

// recount counts a job's memory again, once it has been compacted.
func (u *Unit) recount(e *entry) {
	if u.jobs[e.job.ID()] == e {
		u.drop(e)
		u.keep(e)
	}
}

// dropAll gives the memory of all jobs back when the unit ends.
func (u *Unit) dropAll() { u.Jobs.Drop(u.memory) }
