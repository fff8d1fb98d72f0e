package planner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/record"
)

const (
	// proposerPeriod is how long one member proposes before another does.
	proposerPeriod = 30 * time.Second
	// proposerGuard is the time at the start of a turn in which nothing is
	// proposed, so that the last turn's proposals are folded first.
	proposerGuard = 3 * time.Second
)

// HasTurn tells whether a member may propose now. Turns are by rendezvous
// hashing and only save appends: when members disagree, the fold still takes
// at most one proposal for each version of an instance.
func HasTurn(members []record.MemberID, self record.MemberID, now time.Time) bool {
	start := now.Truncate(proposerPeriod)
	if now.Sub(start) < proposerGuard {
		return false
	}
	period := strconv.FormatInt(start.Unix(), 10)
	var winner record.MemberID
	var highest uint64
	for _, m := range members {
		score := xxhash.Sum64String(period + "/" + string(m))
		if winner == "" || score > highest || score == highest && m < winner {
			winner, highest = m, score
		}
	}
	return winner != "" && winner == self
}
