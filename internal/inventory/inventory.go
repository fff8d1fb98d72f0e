// Package inventory decides into which pool an instance that is new in the
// directory is adopted, and when an instance that the directory no longer lists
// is removed.
//
// It is pure: the newest list and a view go in, records come out.
package inventory

import (
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// maxProposals is the most adoptions, or removals, proposed in one call.
const maxProposals = 64

// Controller proposes the adoption of new instances.
type Controller struct {
	newest func() *listing.List
}

// New returns a controller that reads the newest list.
func New(newest func() *listing.List) *Controller { return &Controller{newest: newest} }

// Name implements control.Controller.
func (c *Controller) Name() string { return "adopt" }

// Propose implements control.Controller.
func (c *Controller) Propose(now time.Time, v *control.View) []record.Body {
	if v.Revision == 0 {
		return nil
	}
	counts := countPools(v)
	var out []record.Body
	for _, inst := range c.newest().Instances {
		if len(out) == maxProposals {
			break
		}
		if inst.Role != platform.RoleWorker || inst.Leaving || v.Fleet.Get(inst.Instance) != nil {
			continue
		}
		pool := choosePool(v.Document, counts, inst.DataCentre)
		if pool == "" {
			continue
		}
		counts[pool].add(inst.DataCentre)
		out = append(out, record.Adopt{
			Instance:     inst.Instance,
			Addr:         inst.Addr,
			DataCentre:   inst.DataCentre,
			Rack:         inst.Rack,
			Pool:         pool,
			Slots:        inst.Slots,
			MaintainedAt: now.Unix(),
		})
	}
	return out
}

// poolCount counts a pool's instances, in total and by data centre.
type poolCount struct {
	total        int
	byDataCentre map[string]int
}

func (c *poolCount) add(centre string) {
	c.total++
	c.byDataCentre[centre]++
}

func countPools(v *control.View) map[string]*poolCount {
	counts := make(map[string]*poolCount, len(v.Document.Pools))
	for name := range v.Document.Pools {
		counts[name] = &poolCount{byDataCentre: map[string]int{}}
	}
	for _, inst := range v.Fleet.All() {
		if c, ok := counts[inst.Pool]; ok {
			c.add(inst.DataCentre)
		}
	}
	return counts
}

// choosePool returns a pool below its configured size: the one with fewest
// instances in the data centre and, among equals, the largest shortfall. It
// returns the spare pool when none is short, "" without a spare pool.
func choosePool(doc *configuration.Document, counts map[string]*poolCount, centre string) string {
	best, spare := "", ""
	for name, pool := range doc.Pools {
		if pool.Spare {
			spare = name
			continue
		}
		if counts[name].total < pool.Size && (best == "" || fillsFirst(doc, counts, centre, name, best)) {
			best = name
		}
	}
	if best == "" {
		return spare
	}
	return best
}

func fillsFirst(doc *configuration.Document, counts map[string]*poolCount, centre, a, b string) bool {
	ca, cb := counts[a], counts[b]
	if inA, inB := ca.byDataCentre[centre], cb.byDataCentre[centre]; inA != inB {
		return inA < inB
	}
	if da, db := doc.Pools[a].Size-ca.total, doc.Pools[b].Size-cb.total; da != db {
		return da > db
	}
	return a < b
}
