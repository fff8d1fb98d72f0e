package traffic

import (
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/credit"
	"github.com/beryltide/beryltide/internal/record"
)

// Credit is the right to run one task of a team. It is held until the task is
// known to have ended.
type Credit interface {
	// Release returns the credit: the task has ended or never started.
	Release()
	// HoldUntil keeps the credit until the given time, up to which the task may
	// still run.
	HoldUntil(until time.Time)
}

// Credits provides the credits that this daemon holds.
type Credits interface {
	// Acquire returns a credit of the team, or false when none is usable.
	Acquire(team string) (Credit, bool)
	// AddWaiting adds change to the number of requests of a team that wait at
	// this daemon.
	AddWaiting(team string, change int)
}

// Account connects the daemon's credit account to the broker and to the control
// log: it implements Credits, and adds yields and takes to the daemon's
// reports. It is safe for concurrent use.
type Account struct {
	credits *credit.Account
}

// NewAccount returns an account without credits.
func NewAccount() *Account { return &Account{credits: credit.New(time.Now)} }

// Acquire implements Credits.
func (a *Account) Acquire(team string) (Credit, bool) {
	lease, ok := a.credits.Acquire(team)
	if !ok {
		return nil, false
	}
	return lease, true
}

// Held returns the number of credits of tasks that are not known to have ended.
func (a *Account) Held() int { return a.credits.Held() }

// AddWaiting implements Credits.
func (a *Account) AddWaiting(team string, change int) { a.credits.AddWaiting(team, change) }

// Publish implements control.Participant.
func (a *Account) Publish(v *control.View) { a.credits.Apply(v.Self, v.Snapshot) }

// Report implements control.Participant. A report with yields or takes is
// always sent, since the account counts them as reported once it has returned
// them.
func (a *Account) Report(_ time.Time, r *record.Report) bool {
	r.Yields, r.Takes = a.credits.Next()
	return len(r.Yields)+len(r.Takes) > 0
}
