package claims

import (
	"time"

	"github.com/google/uuid"
)

// loss is a member's record of the last loss of claims.
type loss struct {
	epoch uint64
	// at is the earliest known time at which a member detected the loss. All
	// lost claims are older.
	at time.Time
}

// observe records a loss that was found in the fold, or reported by a peer that
// detected it age ago.
func (l *loss) observe(epoch uint64, now time.Time, age time.Duration) {
	at := now.Add(-age)
	switch {
	case epoch > l.epoch:
		l.epoch, l.at = epoch, at
	case epoch == l.epoch && epoch > 0 && at.Before(l.at):
		l.at = at
	}
}

// covers reports whether a claim of the key may have been lost: until the
// window has passed, unless the key is a version 7 UUID that was created after
// the loss was detected, with o.Skew as the margin.
func (l *loss) covers(key string, now time.Time, o Options) bool {
	if l.epoch == 0 || now.Sub(l.at) >= o.Window {
		return false
	}
	created, ok := uuidTime(key)
	return !ok || created.Before(l.at.Add(o.Skew))
}

// uuidTime returns the time in a version 7 UUID.
func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
