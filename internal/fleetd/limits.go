package fleetd

import (
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bodybudget"
	"github.com/beryltide/beryltide/internal/connlimit"
	"github.com/beryltide/beryltide/internal/jobbudget"
)

// How the process's memory is divided, beside memoryShare for the garbage collector's
// limit. The heap's parts are well below that limit, since the collector needs the rest.
const (
	// bodyShare is the share for bodies of requests.
	bodyShare = 0.125
	// jobShare is the share for the jobs that an owner keeps.
	jobShare = 0.25
	// connectionShare is the share for callers' connections. It is outside memoryShare,
	// since most of it is the kernel's.
	connectionShare = 0.2
	// bufferBytes is the size that the kernel is told for each of a connection's two
	// buffers. It takes twice as much.
	bufferBytes = 16 << 10
	// connectionBytes is the kernel's memory for a connection whose buffers are full.
	connectionBytes = 2 * 2 * bufferBytes
)

// How the descriptors are divided. The rest is for files and for connections to
// instances, peers and the store.
const (
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// callersPart, peersPart and otherPart are the inverse shares of the others that
	// callers, peers, and operators and readiness checks may use.
	callersPart = 2
	peersPart   = 8
	otherPart   = 64
	// minOther lets a balancer, a scraper and operators connect at once.
	minOther = 8
)

// connectionLimit is the number of connections of each listener.
type connectionLimit struct{ callers, peers, other int }

func (s Settings) connectionLimit() connectionLimit {
	descriptors := s.MaxDescriptors - fileDescriptors
	byMemory := int(connectionShare * float64(s.memory()) / connectionBytes)
	return connectionLimit{
		callers: max(min(descriptors/callersPart, byMemory), minOther),
		peers:   max(descriptors/peersPart, minOther),
		other:   max(descriptors/otherPart, minOther),
	}
}

// memory returns the memory of the process in bytes.
func (s Settings) memory() int64 { return int64(s.MemoryMB) << 20 }

// callerLimits bounds what callers, peers and operators may take of the process.
type callerLimits struct {
	bodies    *bodybudget.Budget
	jobs      *jobbudget.Budget
	listeners map[string]*limitedListener
	logger    *zap.Logger
	metrics   tally.Scope
	last      limitCounts
}

// limitCounts are the counts that are reported when they change.
type limitCounts struct {
	bodiesRefused, bodiesDisplaced, bodiesSlow, jobsRefused int64
	closedIdle, closedBusy, unread                          int64
}

func newCallerLimits(s Settings, ports *Ports, logger *zap.Logger) (*callerLimits, error) {
	limit := s.connectionLimit()
	c := &callerLimits{
		bodies:    bodybudget.New(int64(bodyShare * float64(s.memory()))),
		jobs:      jobbudget.New(int64(jobShare * float64(s.memory()))),
		listeners: map[string]*limitedListener{},
		logger:    logger, metrics: ports.Metrics,
	}
	for _, l := range []struct {
		name     string
		listener *net.Listener
		limit    int
	}{
		{"callers", &ports.CallersListener, limit.callers},
		{"peers", &ports.PeersListener, limit.peers},
		{"readiness", &ports.ReadinessListener, limit.other},
		{"operations", &ports.OperationsListener, limit.other},
	} {
		// Peers send appends of several MiB, which small buffers would slow down.
		peers := l.name == "peers"
		if !peers {
			if err := limitBuffers(*l.listener, bufferBytes); err != nil {
				return nil, err
			}
		}
		limited := &limitedListener{Listener: *l.listener, table: connlimit.New(l.limit), activity: peers}
		*l.listener, c.listeners[l.name] = limited, limited
	}
	return c, nil
}

// sweep closes what is too slow, and reports what the limits have done. It is called once
// a second.
func (c *callerLimits) sweep(now time.Time) {
	c.bodies.Sweep(now)
	stats := c.bodies.Stats()
	kept, refused := c.jobs.Stats()
	counts := limitCounts{bodiesRefused: stats.Refused, bodiesDisplaced: stats.Displaced, bodiesSlow: stats.Slow, jobsRefused: refused}
	for name, l := range c.listeners {
		l.sweep(now)
		s := l.table.Stats()
		c.metrics.Tagged(map[string]string{"listener": name}).Gauge("open_connections").Update(float64(s.Open))
		counts.closedIdle += s.ClosedIdle
		counts.closedBusy += s.ClosedBusy
		counts.unread += s.Unread
	}
	c.metrics.Gauge("body_bytes").Update(float64(stats.Bytes))
	c.metrics.Gauge("kept_job_bytes").Update(float64(kept))
	c.report(counts)
}

// report counts what has changed since the last call, and logs it in one line.
func (c *callerLimits) report(counts limitCounts) {
	before := c.last
	if counts == before {
		return
	}
	c.last = counts
	limited := func(by string, n int64) zap.Field {
		c.metrics.Tagged(map[string]string{"by": by}).Counter("callers_limited").Inc(n)
		return zap.Int64(by, n)
	}
	c.logger.Warn("callers.limited",
		limited("bodies_refused", counts.bodiesRefused-before.bodiesRefused),
		limited("bodies_displaced", counts.bodiesDisplaced-before.bodiesDisplaced),
		limited("bodies_slow", counts.bodiesSlow-before.bodiesSlow),
		limited("jobs_refused", counts.jobsRefused-before.jobsRefused),
		limited("idle_closed", counts.closedIdle-before.closedIdle),
		limited("busy_closed", counts.closedBusy-before.closedBusy),
		limited("unread_closed", counts.unread-before.unread))
}
