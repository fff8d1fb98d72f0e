package traffic

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/departures"
	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Options are the dependencies of a broker.
type Options struct {
	// DataCentre is the data centre of this daemon.
	DataCentre string
	View       func() *control.View
	Credits    Credits
	Backends   platform.Backends
	// Forward sends a request to a peer that holds credits; nil disables
	// forwarding.
	Forward Forwarder
	// MayStart returns the time until which this daemon may start tasks, and
	// false when it may start none now.
	MayStart func() (time.Time, bool)
	// Departures holds the backend servers that are about to leave.
	Departures *departures.Set
	// Wake requests an early report. It is called when a request waits,
	// possibly for a credit.
	Wake func()
	// Random is the source of random choices. It is used under the broker's
	// lock.
	Random *rand.Rand
	Logger *zap.Logger
}

// Broker runs requests. It is safe for concurrent use.
type Broker struct {
	opts    Options
	retries *retryBudget

	mu    sync.Mutex
	queue *dispatch.Queue
	pools map[string]*pool
	// poolByInstance is the name of the pool that each known instance was last
	// added to.
	poolByInstance map[string]string
	// running counts this daemon's tasks by instance.
	running map[string]int
	demand  *demand
	// appliedView is the view that queue and pools reflect.
	appliedView *control.View
	// lastRefresh is when the admissions of instances were last updated for the
	// passage of time.
	lastRefresh time.Time
}

// NewBroker returns a broker without requests or instances.
func NewBroker(opts Options) *Broker {
	return &Broker{
		opts:           opts,
		retries:        newRetryBudget(),
		queue:          dispatch.NewQueue(),
		pools:          map[string]*pool{},
		poolByInstance: map[string]string{},
		running:        map[string]int{},
		demand:         newDemand(),
	}
}

// Do runs a request and returns the backend server's answer, or an error with
// its verdict. When ctx ends, a waiting request is dropped, and a running task
// is stopped if the backend server is able to stop it.
func (b *Broker) Do(ctx context.Context, r Request) (platform.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	queue, ok := b.opts.View().Index.Queue(r.Queue)
	if !ok {
		return platform.Answer{}, verdict.New(verdict.NotRun, verdict.CodeUnknownQueue, "no queue %q", r.Queue)
	}
	j := &job{Request: r, queue: queue, name: jobName(r), arrived: time.Now()}
	if !b.mayRun(j) {
		return platform.Answer{}, verdict.New(verdict.NotRun, verdict.CodeUnrunnable, "the same task failed at several instances and succeeded at none")
	}
	b.countArrival(j)
	b.retries.deposit()
	for {
		answer, err := b.attempt(ctx, j)
		if err == nil || !b.mayRetry(ctx, j, err) {
			return answer, err
		}
		b.opts.Logger.Info("task.retry", zap.String("request", r.ID), zap.Error(err))
	}
}

// countArrival counts a request at the daemon that accepted it.
func (b *Broker) countArrival(j *job) {
	if j.Forwarded {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.recordArrival(j.Queue, j.queue.Pool, j.queue.RunTime.D())
}

// mayRetry reports whether another attempt may follow a failed one. It spends a
// retry where the attempt reached a backend server.
func (b *Broker) mayRetry(ctx context.Context, j *job, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch verdict.CodeOf(err) {
	case verdict.CodeNoInstance, verdict.CodePeer, verdict.CodeLimit:
		return verdict.Of(err) == verdict.NotRun
	case verdict.CodeBackendRefused, verdict.CodeBackendLost, verdict.CodeAnswerIncomplete, verdict.CodeAnswerMismatch:
		safe := verdict.Of(err) == verdict.NotRun || j.queue.Idempotent
		return safe && b.retries.spend()
	default:
		return false
	}
}

// attempt waits for a placement and runs the request there, or forwards it to a
// peer.
func (b *Broker) attempt(ctx context.Context, j *job) (platform.Answer, error) {
	w := j.waiter()
	if err := b.enqueue(w, j); err != nil {
		return platform.Answer{}, err
	}
	b.Dispatch()
	b.wakeIfWaiting(w)
	pl, peerAddr, err := b.awaitPlacement(ctx, w, j)
	switch {
	case err != nil:
		return platform.Answer{}, err
	case peerAddr != "":
		return b.forward(ctx, j, peerAddr)
	default:
		return b.run(ctx, w, j, pl)
	}
}

// wakeIfWaiting requests a report at once when the request was not placed, in
// case it lacks a credit.
func (b *Broker) wakeIfWaiting(w *waiter) {
	b.mu.Lock()
	waiting := w.Waiting()
	b.mu.Unlock()
	if waiting {
		b.opts.Wake()
	}
}

func (b *Broker) enqueue(w *waiter, j *job) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.queue.Push(&w.Request, j.queue.Depth, time.Now()); err != nil {
		return errors.WithStack(err)
	}
	b.opts.Credits.AddWaiting(j.Team, 1)
	return nil
}

// awaitPlacement returns the placement of the request, or the address of a peer
// to forward it to.
func (b *Broker) awaitPlacement(ctx context.Context, w *waiter, j *job) (placement, string, error) {
	poll := time.NewTicker(forwardInterval)
	defer poll.Stop()
	for {
		select {
		case pl := <-w.placed:
			return pl, "", nil
		case <-poll.C:
			addr := b.peerFor(j)
			if addr == "" {
				continue
			}
			if pl, ok := b.withdraw(w, j); ok {
				return pl, "", nil
			}
			return placement{}, addr, nil
		case <-ctx.Done():
			if pl, ok := b.withdraw(w, j); ok {
				b.releasePlacement(w, pl, 0)
			}
			return placement{}, "", contextError(ctx)
		}
	}
}

// withdraw removes a request from the queue. It returns the placement and true
// if the request was placed in the meantime.
func (b *Broker) withdraw(w *waiter, j *job) (placement, bool) {
	b.mu.Lock()
	removed := b.queue.Remove(&w.Request)
	b.mu.Unlock()
	if !removed {
		return <-w.placed, true
	}
	b.opts.Credits.AddWaiting(j.Team, -1)
	return placement{}, false
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "not started before the deadline")
	}
	return verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller has disconnected")
}

// Publish implements control.Participant: it applies a view and starts the
// waiting requests that may start under it.
func (b *Broker) Publish(v *control.View) {
	b.mu.Lock()
	b.applyView(v)
	b.mu.Unlock()
	b.Dispatch()
}
