package traffic

import (
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// refreshInterval is how often ejections, probations and departures are checked
// for their end.
const refreshInterval = time.Second

// Report implements control.Participant: it reports the draining instances on
// which nothing of this daemon runs as cleared. Publish has closed them to new
// work before.
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

// Refresh applies changes in the health of instances and in their departures
// that came with time or from the directory.
func (b *Broker) Refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
}

// refresh updates admissions at most once per refreshInterval. The caller holds
// mu.
func (b *Broker) refresh(now time.Time) {
	if now.Sub(b.lastRefresh) < refreshInterval {
		return
	}
	b.lastRefresh = now
	for _, p := range b.pools {
		p.updateAdmissions(now)
	}
}
