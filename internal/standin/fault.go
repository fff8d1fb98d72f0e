package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Target is the part of the platform that a fault is in.
type Target string

// Targets of faults.
const (
	TargetLog       Target = "log"
	TargetDirectory Target = "directory"
	TargetBackend   Target = "backend"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// KindNone clears all faults of the target.
	KindNone Kind = "none"
	// KindDown drops every connection without an answer or an effect.
	KindDown Kind = "down"
	// KindSlow adds a delay before the effect.
	KindSlow Kind = "slow"
	// KindReplyLost drops the connection after the effect.
	KindReplyLost Kind = "reply-lost"
	// KindLate adds a delay between the effect and the answer.
	KindLate Kind = "late"
	// KindFreeze holds requests back before the effect until the fault is cleared.
	KindFreeze Kind = "freeze"
	// KindTruncated breaks off a backend server's answer in the middle.
	KindTruncated Kind = "truncated"
	// KindCrossed sends the previous task's answer in place of the right one.
	KindCrossed Kind = "crossed"
	// KindFails makes a backend server fail each task at once.
	KindFails Kind = "fails"
	// KindRefuse makes a backend server refuse each task as not run.
	KindRefuse Kind = "refuse"
	// KindLag makes the directory answer with its list as it was DelayMS ago.
	KindLag Kind = "lag"
	// KindEmpty makes the directory's list empty.
	KindEmpty Kind = "empty"
)

// Fault is a request to activate or clear a fault.
type Fault struct {
	Target Target `json:"target"`
	// Instance limits a fault to one backend server; empty means all.
	Instance string `json:"instance,omitempty"`
	Kind     Kind   `json:"kind"`
	// DelayMS is the delay of slow, late and lag in milliseconds.
	DelayMS int64 `json:"delayMs,omitempty"`
	// Count is the number of requests that the fault affects; zero means all.
	Count int `json:"count,omitempty"`
}

// Delay returns the fault's delay.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

var kindsByTarget = map[Target][]Kind{
	TargetLog:       {KindNone, KindDown, KindSlow, KindReplyLost, KindLate, KindFreeze},
	TargetDirectory: {KindNone, KindDown, KindSlow, KindFreeze, KindLag, KindEmpty},
	TargetBackend: {
		KindNone, KindDown, KindSlow, KindReplyLost, KindLate, KindFreeze,
		KindTruncated, KindCrossed, KindFails, KindRefuse,
	},
}

// faults holds the active faults of one server. The zero value has none. It is safe
// for concurrent use.
type faults struct {
	mu     sync.Mutex
	active map[Kind]*Fault
	// freezeEnded is closed when a freeze ends.
	freezeEnded chan struct{}
}

func (fs *faults) set(f Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if f.Kind == KindNone {
		fs.active = nil
		if fs.freezeEnded != nil {
			close(fs.freezeEnded)
			fs.freezeEnded = nil
		}
		return
	}
	if fs.active == nil {
		fs.active = map[Kind]*Fault{}
	}
	fs.active[f.Kind] = &f
	if f.Kind == KindFreeze && fs.freezeEnded == nil {
		fs.freezeEnded = make(chan struct{})
	}
}

func (fs *faults) clear(k Kind) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	delete(fs.active, k)
}

// consume returns the active fault of a kind, if any, and lowers its count.
func (fs *faults) consume(k Kind) (Fault, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f, ok := fs.active[k]
	if !ok {
		return Fault{}, false
	}
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(fs.active, k)
		}
	}
	return *f, true
}

// freezeEnd returns a channel that is closed when the current freeze ends, nil if
// there is none.
func (fs *faults) freezeEnd() <-chan struct{} {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.freezeEnded
}

// beforeEffect applies the faults that precede a request's effect. It panics with
// http.ErrAbortHandler to drop the connection.
func (fs *faults) beforeEffect(ctx context.Context) {
	if thawed := fs.freezeEnd(); thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	if _, ok := fs.consume(KindDown); ok {
		panic(http.ErrAbortHandler)
	}
	if f, ok := fs.consume(KindSlow); ok {
		pause(f.Delay())
	}
}

// afterEffect applies the faults between a request's effect and its answer. It
// panics with http.ErrAbortHandler to lose the answer.
func (fs *faults) afterEffect() {
	if f, ok := fs.consume(KindLate); ok {
		pause(f.Delay())
	}
	if _, ok := fs.consume(KindReplyLost); ok {
		panic(http.ErrAbortHandler)
	}
}

func pause(d time.Duration) { <-time.After(d) }

func checkFault(f Fault) error {
	kinds, ok := kindsByTarget[f.Target]
	if !ok {
		return errors.Errorf("unknown target %q", f.Target)
	}
	for _, k := range kinds {
		if k == f.Kind {
			return nil
		}
	}
	return errors.Errorf("target %q has no fault %q", f.Target, f.Kind)
}
