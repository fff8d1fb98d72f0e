// Package watch asks backend servers for their usage in turns.
//
// Each daemon asks its own part of the instances, by rendezvous hashing, so
// that all daemons together ask each instance once a round. What an instance
// says is handed on; the package draws no conclusions.
package watch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// interval is the least time between two rounds over the part.
	roundInterval = time.Second
	// perSecond bounds the questions of one daemon, for its budget of control
	// bytes.
	pollsPerSecond = 8
	// usageTimeout bounds one question.
	usageTimeout = time.Second
)

// Options are what a watcher is made of.
type Options struct {
	View     func() *control.View
	Backends platform.Backends
	// Take is given what an instance says of itself.
	Take func(instance string, u platform.Usage, at time.Time)
}

// Watcher asks instances for their usage.
type Watcher struct {
	opts Options
	// asked are this daemon's part of the instances, and of which members and
	// fleet that is.
	assigned   []*fleet.Instance
	epoch      uint64
	generation uint64
}

// New returns a watcher.
func New(opts Options) *Watcher { return &Watcher{opts: opts} }

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		instances := w.assignedInstances()
		for _, inst := range instances {
			w.poll(ctx, inst)
			sleep(ctx, time.Second/pollsPerSecond)
		}
		sleep(ctx, roundInterval-time.Since(start))
	}
}

// part returns the instances that this daemon asks.
func (w *Watcher) assignedInstances() []*fleet.Instance {
	view := w.opts.View()
	if w.assigned != nil && w.epoch == view.Members.Epoch() && w.generation == view.Fleet.Generation() {
		return w.assigned
	}
	w.epoch, w.generation = view.Members.Epoch(), view.Fleet.Generation()
	w.assigned = []*fleet.Instance{}
	members := view.Members.IDs()
	view.Fleet.Each(func(inst *fleet.Instance) {
		if inst.Phase != fleet.Rebooting && watcherOf(inst.Name, members) == view.Self {
			w.assigned = append(w.assigned, inst)
		}
	})
	return w.assigned
}

func watcherOf(instance string, members []record.MemberID) record.MemberID {
	var best record.MemberID
	var bestScore uint64
	for _, m := range members {
		if score := xxhash.Sum64String(instance + "/" + string(m)); best == "" || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// ask hands on what an instance says. One that doesn't answer says nothing.
func (w *Watcher) poll(ctx context.Context, inst *fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	at := time.Now()
	u, err := w.opts.Backends.Usage(ctx, inst.Addr)
	if err == nil {
		w.opts.Take(inst.Name, u, at)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
