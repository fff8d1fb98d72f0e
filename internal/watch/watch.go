// Package watch polls backend servers for their usage.
//
// Each daemon polls its own part of the instances, chosen by rendezvous
// hashing, so that all daemons together poll each instance once a round. Usage
// reports are passed to a callback; the package doesn't interpret them.
package watch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// roundInterval is the minimum time between the starts of two rounds.
	roundInterval = time.Second
	// pollsPerSecond bounds the polls of one daemon, to keep within its budget
	// of control bytes.
	pollsPerSecond = 8
	// usageTimeout bounds one poll.
	usageTimeout = time.Second
)

// Options are the dependencies of a watcher.
type Options struct {
	View     func() *control.View
	Backends platform.Backends
	// OnUsage is called with each usage report and the time at which its poll
	// began.
	OnUsage func(instance string, u platform.Usage, at time.Time)
}

// Watcher polls instances for their usage. It is used by one goroutine.
type Watcher struct {
	opts Options
	// assigned are this daemon's instances, as computed for a members' epoch
	// and a fleet generation.
	assigned   []*fleet.Instance
	epoch      uint64
	generation uint64
}

// New returns a watcher.
func New(opts Options) *Watcher { return &Watcher{opts: opts} }

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		instances := w.assignedInstances()
		for _, inst := range instances {
			w.poll(ctx, inst)
			pause.For(ctx, time.Second/pollsPerSecond)
		}
		pause.For(ctx, roundInterval-time.Since(start))
	}
}

// assignedInstances returns the instances that this daemon polls.
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

// watcherOf returns the member that polls an instance, by rendezvous hashing.
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

// poll requests the usage of one instance. A failed poll is dropped; the next
// round repeats it.
func (w *Watcher) poll(ctx context.Context, inst *fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	at := time.Now()
	u, err := w.opts.Backends.Usage(ctx, inst.Addr)
	if err == nil {
		w.opts.OnUsage(inst.Name, u, at)
	}
}
