package traffic

import (
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// refreshEvery is how often ejections and probations are looked through.
const refreshInterval = time.Second

// Report implements control.Participant: it clears the draining instances at
// which nothing of this daemon runs. Publish has closed them to new work
// before.
func (b *Broker) Report(now time.Time, r *record.Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	view := b.appliedView
	if view == nil {
		return false
	}
	for _, name := range view.Fleet.Draining() {
		_, cleared := slices.BinarySearch(view.Fleet.Get(name).Cleared, view.Self)
		if !cleared && b.running[name] == 0 {
			r.Cleared = append(r.Cleared, name)
		}
	}
	return len(r.Cleared) > 0
}

// Refresh puts in force what time and the directory have changed.
func (b *Broker) Refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
}

// refresh puts in force what time alone has changed. The caller holds mu.
func (b *Broker) refresh(now time.Time) {
	if now.Sub(b.lastRefresh) < refreshInterval {
		return
	}
	b.lastRefresh = now
	for _, p := range b.pools {
		p.updateAdmissions(now)
	}
}
