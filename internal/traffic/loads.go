package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// OwnLoad implements loadsync.LoadStore. It returns this daemon's loads sorted
// by pool and team, the counts of arrived work sorted by pool, and the
// instances that reported to this daemon that they are leaving.
func (b *Broker) OwnLoad() peer.DaemonLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return peer.DaemonLoad{
		Loads:   sorted(b.queue.Loads()),
		Pools:   b.demand.totals(),
		Leaving: b.opts.Departures.LocalReports(time.Now()),
	}
}

func sorted(loads []dispatch.Load) []dispatch.Load {
	slices.SortFunc(loads, func(a, b dispatch.Load) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Team, b.Team))
	})
	return loads
}

// SetPeerLoad implements loadsync.LoadStore.
func (b *Broker) SetPeerLoad(id record.MemberID, load peer.DaemonLoad) {
	now := time.Now()
	for _, name := range load.Leaving {
		b.opts.Departures.RecordPeerReport(name, now)
		b.updateAdmission(name, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.SetPeerLoads(string(id), slices.Clip(load.Loads))
	b.demand.setPeer(id, load.Pools)
}

// RemovePeerLoad implements loadsync.LoadStore.
func (b *Broker) RemovePeerLoad(id record.MemberID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.SetPeerLoads(string(id), nil)
	b.demand.removePeer(id)
}
