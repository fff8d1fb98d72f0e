package relay

import (
	"context"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// Times of a round.
const (
	roundInterval = 500 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	// fetchTimeout bounds the transfer of records, which may be a whole state.
	fetchTimeout = 2 * time.Second
)

// roundsPerCycle is how many rounds it takes to ask all peers of a large fleet; up to
// pollAllLimit peers are asked in each round.
const (
	roundsPerCycle = 3
	pollAllLimit   = 8
)

// Peers is used to ask peers.
type Peers interface {
	Standing(ctx context.Context, addr string) (peer.Standing, error)
	Records(ctx context.Context, addr string, from record.Offset) (peer.Records, error)
}

// Options are what a poller is made of. Its functions must be safe for
// concurrent use.
type Options struct {
	Peers Peers
	// Addresses returns the addresses of the peers.
	Addresses func() []string
	// Next returns the offset of the first record that this daemon lacks.
	Next func() record.Offset
	// Wanted tells whether this daemon needs its peers to know the log.
	Wanted func() bool
}

// Round is what the peers answered.
type Round struct {
	// Sent is the time before any peer was asked.
	Sent      time.Time
	Standings []peer.Standing
	// Records are from the peer that has read furthest, when that is further
	// than this daemon.
	Records peer.Records
}

// Poller asks peers. Run is for one goroutine.
type Poller struct {
	opts        Options
	rounds      chan Round
	roundNumber int
}

// NewPoller returns a poller.
func NewPoller(opts Options) *Poller {
	return &Poller{opts: opts, rounds: make(chan Round)}
}

// Rounds returns the channel on which rounds arrive.
func (p *Poller) Rounds() <-chan Round { return p.rounds }

// Run asks while that is wanted, until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !p.opts.Wanted() {
			continue
		}
		select {
		case p.rounds <- p.round(ctx):
		case <-ctx.Done():
			return
		}
	}
}

type peerAnswer struct {
	addr     string
	standing peer.Standing
}

func (p *Poller) round(ctx context.Context) Round {
	round := Round{Sent: time.Now()}
	mostAdvanced := peerAnswer{standing: peer.Standing{Next: p.opts.Next()}}
	for _, a := range p.pollDuePeers(ctx) {
		round.Standings = append(round.Standings, a.standing)
		if a.standing.Next > mostAdvanced.standing.Next {
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

// pollDuePeers asks the peers whose turn it is, all at once.
func (p *Poller) pollDuePeers(ctx context.Context) []peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []peerAnswer
	var wait sync.WaitGroup
	for _, addr := range p.duePeers() {
		wait.Go(func() {
			standing, err := p.opts.Peers.Standing(ctx, addr)
			if err != nil {
				return
			}
			mu.Lock()
			answers = append(answers, peerAnswer{addr: addr, standing: standing})
			mu.Unlock()
		})
	}
	wait.Wait()
	return answers
}

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
