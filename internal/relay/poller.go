package relay

import (
	"context"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// Interval of the rounds, and the timeouts of their calls.
const (
	roundInterval = 500 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	// fetchTimeout limits the transfer of records, which may include a whole
	// state.
	fetchTimeout = 2 * time.Second
)

// The peers of a round.
const (
	// roundsPerCycle is the number of rounds in which all peers of a large fleet
	// are polled once.
	roundsPerCycle = 3
	// pollAllLimit is the number of peers up to which each round polls all of them.
	pollAllLimit = 8
)

// Peers calls peers. It must be safe for concurrent use.
type Peers interface {
	Standing(ctx context.Context, addr string) (peer.LogPosition, error)
	Records(ctx context.Context, addr string, from record.Offset) (peer.Records, error)
}

// Options configure a poller. The functions are called by Run's goroutine and
// must be safe for concurrent use.
type Options struct {
	Peers Peers
	// Addresses returns the addresses of the peers.
	Addresses func() []string
	// Next returns the offset of the first record that this daemon hasn't folded.
	Next func() record.Offset
	// ShouldPoll reports whether peers should be polled, because the log can't be
	// read.
	ShouldPoll func() bool
}

// Round is the result of polling the peers once.
type Round struct {
	// Sent is the time before the first call.
	Sent      time.Time
	Positions []peer.LogPosition
	// Records are from the peer that has read furthest. They are empty if no peer
	// is ahead of this daemon or the call failed.
	Records peer.Records
}

// Poller polls peers. Run is called by one goroutine.
type Poller struct {
	opts        Options
	rounds      chan Round
	roundNumber int
}

// NewPoller returns a poller.
func NewPoller(opts Options) *Poller {
	return &Poller{opts: opts, rounds: make(chan Round)}
}

// Rounds returns the channel to which Run sends its results. It is unbuffered and
// never closed.
func (p *Poller) Rounds() <-chan Round { return p.rounds }

// Run polls the peers at an interval while Options.ShouldPoll returns true,
// until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !p.opts.ShouldPoll() {
			continue
		}
		select {
		case p.rounds <- p.round(ctx):
		case <-ctx.Done():
			return
		}
	}
}

// peerAnswer is the answer of the peer at addr.
type peerAnswer struct {
	addr     string
	position peer.LogPosition
}

// round polls the due peers and fetches records from the most advanced one.
func (p *Poller) round(ctx context.Context) Round {
	round := Round{Sent: time.Now()}
	mostAdvanced := peerAnswer{position: peer.LogPosition{Next: p.opts.Next()}}
	for _, a := range p.pollDuePeers(ctx) {
		round.Positions = append(round.Positions, a.position)
		if a.position.Next > mostAdvanced.position.Next {
			mostAdvanced = a
		}
	}
	if mostAdvanced.addr == "" {
		return round
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	records, err := p.opts.Peers.Records(ctx, mostAdvanced.addr, p.opts.Next())
	if err == nil {
		round.Records = records
	}
	return round
}

// pollDuePeers polls the peers of this round concurrently, and returns the answers
// received within callTimeout.
func (p *Poller) pollDuePeers(ctx context.Context) []peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []peerAnswer
	var wait sync.WaitGroup
	for _, addr := range p.duePeers() {
		wait.Go(func() {
			position, err := p.opts.Peers.Standing(ctx, addr)
			if err != nil {
				return
			}
			mu.Lock()
			answers = append(answers, peerAnswer{addr: addr, position: position})
			mu.Unlock()
		})
	}
	wait.Wait()
	return answers
}

// duePeers returns the addresses to poll in this round.
func (p *Poller) duePeers() []string {
	all := p.opts.Addresses()
	if len(all) <= pollAllLimit {
		return all
	}
	p.roundNumber++
	var due []string
	for i := p.roundNumber % roundsPerCycle; i < len(all); i += roundsPerCycle {
		due = append(due, all[i])
	}
	return due
}
