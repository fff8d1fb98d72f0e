package claims

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Options are the limits of a Registry.
type Options struct {
	// Window is how long a claim is kept after it was made.
	Window time.Duration
	// Skew is the most that a caller's clock may be ahead of a member's.
	Skew time.Duration
	// MaxClaims is the most claims kept; claims of further keys are refused.
	// Transfers are accepted up to twice this number.
	MaxClaims int
	// MaxBody is the largest answer body kept with a claim, in bytes.
	MaxBody int
	// MaxBodies is the most bytes of answer bodies kept in total.
	MaxBodies int
}

// entry is a claim as this member stores it.
type entry struct {
	Replica
	claimedAt time.Time
	// holders are the other members known to hold a replica.
	holders []record.MemberID
	// done is closed once the claim is no longer running.
	done chan struct{}
	// index is the entry's position in the age queue.
	index int
}

// Registry holds a member's claims. It makes no calls and is safe for
// concurrent use.
type Registry struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	view    View
	closed  bool
	entries map[Key]*entry
	// byAge holds the entries, oldest first.
	byAge  ageQueue
	bodies int
	loss   loss
	// sentLossEpochs holds the LostEpoch of the last transfer that each member
	// accepted.
	sentLossEpochs map[record.MemberID]uint64
	// handedOver is the last epoch for which all claims were handed over.
	handedOver uint64
}

// NewRegistry returns an empty registry that uses now as its clock.
func NewRegistry(o Options, now func() time.Time) *Registry {
	return &Registry{options: o, now: now, entries: map[Key]*entry{}, sentLossEpochs: map[record.MemberID]uint64{}}
}

// Advance applies a membership. No claim is granted under an earlier one
// afterwards.
func (r *Registry) Advance(v View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Epoch < r.view.Epoch {
		return
	}
	v.Members = slices.Clone(v.Members)
	r.view = v
	maps.DeleteFunc(r.sentLossEpochs, func(m record.MemberID, _ uint64) bool { return !v.has(m) })
	r.loss.observe(v.LostEpoch, r.now(), 0)
}

// View returns the active membership.
func (r *Registry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Close makes the member refuse claims and replicas from now on.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// decision is a home's decision on a claim request.
type decision struct {
	reply Reply
	// replicate is the replica that another member must hold before the reply
	// is valid.
	replicate *Replica
	epoch     uint64
	// holderDone is closed when the claim that holds the key is no longer
	// running.
	holderDone <-chan struct{}
}

// begin decides on a claim request.
func (r *Registry) begin(req Request) decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if refusal := r.checkHome(req.Key); refusal != nil {
		return decision{reply: Reply{Refusal: refusal}}
	}
	held, ok := r.entries[req.Key]
	if !ok {
		return r.claimNew(req)
	}
	return r.claimExisting(req, held)
}

// checkHome returns why this member can't decide on a key, nil when it can.
func (r *Registry) checkHome(k Key) *Refusal {
	switch {
	case r.closed:
		return refuse(verdict.NotRun, verdict.CodeStopping, "the key's home is stopping")
	case !r.view.Settled:
		return refuse(verdict.NotRun, verdict.CodeNotReady, "claims are being handed over")
	case r.view.Home(k) != r.view.Self:
		return refuse(verdict.NotRun, verdict.CodeNotHome, "another member is the key's home")
	default:
		return nil
	}
}

func (r *Registry) claimNew(req Request) decision {
	if r.loss.covers(req.Key.Value, r.now(), r.options) {
		return decision{reply: Reply{Refusal: historyLost()}}
	}
	if len(r.entries) >= r.options.MaxClaims {
		return decision{reply: Reply{Refusal: refuse(verdict.NotRun, verdict.CodeQueueFull, "the limit of idempotency keys is reached")}}
	}
	return r.grant(req, 1)
}

func historyLost() *Refusal {
	return refuse(verdict.MayHaveRun, verdict.CodeHistoryLost, "the history of the key was lost with the members that held it")
}

func (r *Registry) grant(req Request, attempt int) decision {
	e := &entry{
		Replica: Replica{
			Key:     req.Key,
			Request: req.Request,
			Attempt: attempt,
			Token:   req.Token,
			Owner:   req.Owner,
			State:   Started,
		},
		claimedAt: r.now(),
		done:      make(chan struct{}),
	}
	r.put(e)
	return r.grantDecision(e)
}

func (r *Registry) grantDecision(e *entry) decision {
	replica := r.replicaOf(e)
	return decision{reply: Reply{Granted: true}, replicate: &replica, epoch: r.view.Epoch}
}

func (r *Registry) claimExisting(req Request, held *entry) decision {
	if held.Attempt > 0 && held.Request != req.Request {
		return decision{reply: Reply{Refusal: refuse(verdict.NotRun, verdict.CodeKeyReused, "the key was already used for another request")}}
	}
	switch held.State {
	case Released:
		return r.claimReleased(req, held)
	case Finished:
		return decision{reply: Reply{Result: held.Result}}
	}
	switch {
	case held.Token == req.Token:
		return r.grantDecision(held)
	case !r.view.has(held.Owner):
		return decision{reply: Reply{Refusal: refuse(verdict.MayHaveRun, verdict.CodeHistoryLost, "the daemon that held the request has left the cluster")}}
	default:
		refusal := refuse(verdict.MayHaveRun, verdict.CodeInProgress, "the first request with the key is still running")
		return decision{reply: Reply{Refusal: refusal}, holderDone: held.done}
	}
}

// claimReleased decides on a released key. A later claim of it may have been
// lost.
func (r *Registry) claimReleased(req Request, held *entry) decision {
	switch {
	case held.Token == req.Token:
		return decision{reply: Reply{Refusal: refuse(verdict.NotRun, verdict.CodeCancelled, "the request was cancelled")}}
	case r.loss.covers(req.Key.Value, r.now(), r.options):
		return decision{reply: Reply{Refusal: historyLost()}}
	default:
		return r.grant(req, held.Attempt+1)
	}
}

// settle ends a claim and returns the replica to send, with the members that
// should receive it. A release that arrives before its claim is stored, so that
// the claim is refused.
func (r *Registry) settle(s Settlement) (Replica, []record.MemberID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	held, ok := r.entries[s.Key]
	switch {
	case !ok && (s.State != Released || len(r.entries) >= r.options.MaxClaims):
		return Replica{}, nil, false
	case !ok:
		held = &entry{
			Replica:   Replica{Key: s.Key, Request: s.Request, Token: s.Token, Owner: s.Owner},
			claimedAt: r.now(),
			done:      make(chan struct{}),
		}
		r.put(held)
	case held.Token != s.Token || held.State != Started:
		return Replica{}, nil, false
	}
	r.setState(held, s.State, s.Result)
	return r.replicaOf(held), slices.Clone(held.holders), true
}

// setState moves an entry to a state after Started. It drops a body that
// exceeds the limits.
func (r *Registry) setState(e *entry, s State, result Result) {
	if len(result.Body) > r.options.MaxBody || r.bodies+len(result.Body) > r.options.MaxBodies {
		result.Body, result.Whole = nil, false
	}
	r.bodies += len(result.Body) - len(e.Result.Body)
	wasRunning := e.State <= Started
	e.State = s
	e.Result = result
	if wasRunning {
		close(e.done)
	}
}

// merge stores the replicas of a transfer.
func (r *Registry) merge(t Transfer) Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return ReceiptClosed
	case t.Replica && t.Epoch != r.view.Epoch:
		return ReceiptRefused
	}
	r.expire()
	r.loss.observe(t.LostEpoch, r.now(), t.LostAge)
	if len(r.entries)+len(t.Copies) > 2*r.options.MaxClaims {
		return ReceiptRefused
	}
	for i := range t.Copies {
		r.mergeReplica(&t.Copies[i], t.From)
	}
	return ReceiptAccepted
}

func (r *Registry) mergeReplica(replica *Replica, from record.MemberID) {
	held, ok := r.entries[replica.Key]
	if ok && !replica.supersedes(&held.Replica) {
		if replica.Attempt == held.Attempt {
			held.addHolder(from)
		}
		return
	}
	e := &entry{Replica: *replica, claimedAt: r.now().Add(-replica.Age), done: make(chan struct{})}
	e.State, e.Result = Started, Result{}
	e.addHolder(from)
	r.put(e)
	if replica.State != Started {
		r.setState(e, replica.State, replica.Result)
	}
}

func (e *entry) addHolder(m record.MemberID) {
	if !slices.Contains(e.holders, m) {
		e.holders = append(e.holders, m)
	}
}

func (r *Registry) replicaOf(e *entry) Replica {
	replica := e.Replica
	replica.Age = r.now().Sub(e.claimedAt)
	return replica
}
