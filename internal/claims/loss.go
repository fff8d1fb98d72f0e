package claims

import (
	"time"

	"github.com/google/uuid"
)

// loss is what a member knows of the last time that claims were lost.
type loss struct {
	epoch uint64
	// at is when this member, or the first that told it, learnt of it. All
	// claims that were lost are older.
	at time.Time
}

// observe notes a loss learnt from the fold or from a peer that has known of
// it for age.
func (l *loss) observe(epoch uint64, now time.Time, age time.Duration) {
	at := now.Add(-age)
	switch {
	case epoch > l.epoch:
		l.epoch, l.at = epoch, at
	case epoch == l.epoch && epoch > 0 && at.Before(l.at):
		l.at = at
	}
}

// covers tells whether a claim of the key may have been lost: until the
// window has passed, unless the key itself shows that it was made later.
func (l *loss) covers(key string, now time.Time, o Options) bool {
	if l.epoch == 0 || now.Sub(l.at) >= o.Window {
		return false
	}
	created, ok := uuidTime(key)
	return !ok || created.Before(l.at.Add(o.Skew))
}

// uuidTime returns the time in a UUID of version 7.
func uuidTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
