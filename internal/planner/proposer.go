package planner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/record"
)

const (
	// proposerPeriod is how long one member is the proposer.
	proposerPeriod = 30 * time.Second
	// proposerGuard is the time at the start of a period in which nothing is
	// proposed, so that the proposals of the last period are folded first.
	proposerGuard = 3 * time.Second
)

// IsProposer reports whether a member is the proposer now. The proposer of each
// period is chosen by rendezvous hashing. This only saves appends: when members
// disagree, the fold still accepts at most one proposal for each version of an
// instance.
func IsProposer(members []record.MemberID, self record.MemberID, now time.Time) bool {
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
