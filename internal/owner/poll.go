package owner

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/pause"
)

// pollLoop polls the instance until the session ends.
func (s *session) pollLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case next := <-s.nextPoll:
			s.pollOnce(next)
		}
	}
}

func (s *session) pollOnce(next ackCursor) {
	if !s.unit.holds() {
		pause.For(s.ctx, pollRetryDelay)
		s.enqueuePoll(next)
		return
	}
	sent := time.Now()
	poll := s.nextPollCall(next)
	listing, err := s.unit.Instances.Poll(s.ctx, *s.target.Load(), poll)
	if err != nil {
		s.outOfContact.Store(true)
	} else {
		s.recordAnswer(listing.Incarnation, poll.Acknowledged)
		s.clock.Store(&clockReading{clock: listing.Clock, at: s.unit.Clock(), incarnation: listing.Incarnation})
	}
	s.unit.post(func() { s.unit.onPoll(s, listing, err, sent) })
	if err != nil {
		pause.For(s.ctx, pollRetryDelay)
		s.enqueuePoll(next)
		return
	}
	if poll.Wait == 0 {
		pause.For(s.ctx, pollRetryDelay)
	}
}

// nextPollCall returns the next poll, for the incarnation that answered last. While none
// has, it only raises the fence and asks for the listing.
func (s *session) nextPollCall(next ackCursor) instance.Poll {
	poll := instance.Poll{Incarnation: s.polledIncarnation, Fence: s.unit.tenure.Epoch}
	if s.outOfContact.Load() {
		// While contact is lost, no poll may extend the lease: its answer may get
		// lost, and each try would put off the expiries. One that acknowledges nothing
		// either needs a single answer on a new connection, not a second one after that
		// which identifies it.
		return poll
	}
	if next.incarnation == s.polledIncarnation && next.recorded > s.lastAcknowledged {
		poll.Acknowledged = next.recorded
	}
	// The poll goroutine stores the clock with polledIncarnation, so it is that one's.
	if lease, err := s.extendLease(s.polledIncarnation); err == nil && lease > 0 {
		poll.Lease, poll.Wait = lease, cmp.Or(next.wait, pollWait)
	}
	return poll
}

// recordAnswer notes which incarnation answered, and what was acknowledged.
func (s *session) recordAnswer(incarnation, acknowledged int64) {
	extended := s.extensions.Swap(0)
	if incarnation != s.polledIncarnation {
		if s.polledIncarnation != 0 {
			s.unit.Meter.restarts.Inc(1)
			s.unit.Logger.Info("instance.restarted", zap.String("instance", s.target.Load().ID), zap.Int64("former", s.polledIncarnation),
				zap.Int64("incarnation", incarnation), zap.Int64("extensions", extended), zap.Int64("acknowledged", acknowledged), zap.Duration("without_answer", time.Since(s.answeredAt)))
		}
		s.polledIncarnation, s.lastAcknowledged = incarnation, 0
	} else {
		s.lastAcknowledged = max(s.lastAcknowledged, acknowledged)
	}
	s.answeredAt = time.Now()
}

// schedulePoll schedules the next poll with the ends recorded so far. The
// unit's goroutine calls it.
func (s *session) schedulePoll() {
	next := ackCursor{incarnation: s.incarnation, recorded: s.lastRecorded, wait: pollWait}
	if s.hasTaskStartingUp() {
		next.wait = startupPollWait
	}
	s.enqueuePoll(next)
}

// hasTaskStartingUp reports whether a long-running task there, whose step limits how many
// may be unavailable, doesn't serve yet.
func (s *session) hasTaskStartingUp() bool {
	if s.usage.longRunning == 0 {
		return false
	}
	for _, r := range s.runs {
		if r.step.Lasting && r.step.MayMiss > 0 && !r.stopping && r.percent < servingPercent {
			return true
		}
	}
	return false
}

func (s *session) enqueuePoll(next ackCursor) {
	select {
	case s.nextPoll <- next:
	default:
	}
}
