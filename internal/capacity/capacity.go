// Package capacity runs the planner in a daemon: it collects the planner's
// input, sends its proposals, and has drained instances rebooted.
//
// It owns the timing of the rounds and the calls to the platform; the rules are
// in package planner.
package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Times of the rounds and their calls.
const (
	// roundInterval is the time between two rounds of the planner.
	roundInterval = 2 * time.Second
	// observeInterval is the resolution of the observed demand.
	observeInterval = time.Second
	// maxContactAge is how long ago the last contact with the log may be for
	// the log to count as reachable.
	maxContactAge = 5 * time.Second
	// rebootTimeout bounds one call to the platform.
	rebootTimeout = 5 * time.Second
)

// Options are the dependencies of a runner.
type Options struct {
	Directory platform.Directory
	// Newest returns the newest list of the directory.
	Newest func() *listing.List
	// Contact returns the time of the last contact with the log.
	Contact func() time.Time
	// Demand returns the work, by pool, that has arrived since the last call.
	Demand func() map[string]planner.Demand
	// Ejected returns the instances that get no work because they are
	// unhealthy.
	Ejected func(now time.Time) []string
	Logger  *zap.Logger
}

// Runner runs the planner. Its exported methods are for the control goroutine
// only.
type Runner struct {
	opts       Options
	planner    *planner.Planner
	observedAt time.Time
	decidedAt  time.Time
	pending    []record.Body

	mu sync.Mutex
	// requested holds the reboots with a call to the platform in progress,
	// completed those that are over, both by instance and wave.
	requested map[planner.Reboot]bool
	completed map[planner.Reboot]bool
}

var _ control.Source = (*Runner)(nil)

// New returns a runner without observations.
func New(opts Options) *Runner {
	return &Runner{
		opts:      opts,
		planner:   planner.New(),
		requested: map[planner.Reboot]bool{},
		completed: map[planner.Reboot]bool{},
	}
}

// Next implements control.Source: it observes the demand, plans when a round is
// due, and returns the proposals one at a time.
func (r *Runner) Next(now time.Time, v *control.View, last bool) record.Body {
	if last {
		return nil
	}
	if now.Sub(r.observedAt) >= observeInterval {
		r.observedAt = now
		r.planner.Observe(now, r.opts.Demand())
	}
	if len(r.pending) == 0 && now.Sub(r.decidedAt) >= roundInterval {
		r.decidedAt = now
		r.decide(now, v)
	}
	if len(r.pending) == 0 {
		return nil
	}
	next := r.pending[0]
	r.pending = r.pending[1:]
	return next
}

func (r *Runner) decide(now time.Time, v *control.View) {
	decision := r.planner.Plan(planner.Input{
		Now:        now,
		Snapshot:   v.Snapshot,
		Self:       v.Self,
		LogContact: now.Sub(r.opts.Contact()) < maxContactAge,
		Unhealthy:  r.unhealthy(now, v),
		Restarted:  r.restarted(v),
		Burning:    burn.Burning(v.Burn, v.Document.Services, now),
	})
	r.pending = decision.Records
	for _, b := range decision.Records {
		r.opts.Logger.Info("planner.propose", zap.String("kind", string(b.Kind())), zap.String("record", fmt.Sprintf("%+v", b)))
	}
	for _, reboot := range decision.Reboots {
		r.reboot(reboot)
	}
}

// unhealthy returns the instances that are missing from the newest list, are
// leaving, or are ejected. When a list lacks so many instances that it may be
// wrong, none counts as missing.
func (r *Runner) unhealthy(now time.Time, v *control.View) map[string]bool {
	out := map[string]bool{}
	for _, name := range r.opts.Ejected(now) {
		out[name] = true
	}
	list := r.opts.Newest()
	var absent []string
	for _, inst := range v.Fleet.All() {
		l, ok := list.Get(inst.Name)
		if !ok {
			absent = append(absent, inst.Name)
		}
		if l.Leaving {
			out[inst.Name] = true
		}
	}
	if listing.Implausible(len(absent), v.Fleet.Len()) {
		return out
	}
	for _, name := range absent {
		out[name] = true
	}
	return out
}

// reboot calls the platform in the background, with at most one call for a
// reboot at a time.
func (r *Runner) reboot(b planner.Reboot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requested[b] || r.completed[b] {
		return
	}
	r.requested[b] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rebootTimeout)
		defer cancel()
		err := r.opts.Directory.Reboot(ctx, b.Instance, b.Wave)
		if err != nil && !errors.Is(err, platform.ErrRebooting) {
			r.opts.Logger.Warn("reboot.failed", zap.String("instance", b.Instance), zap.Error(err))
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.requested, b)
		if err == nil {
			r.completed[b] = true
		}
	}()
}

// restarted returns the instances whose reboot is over, and drops those that
// the fold has returned to service.
func (r *Runner) restarted(v *control.View) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{}
	for b := range r.completed {
		inst := v.Fleet.Get(b.Instance)
		if inst == nil || inst.Wave != b.Wave {
			delete(r.completed, b)
			continue
		}
		out[b.Instance] = true
	}
	return out
}
