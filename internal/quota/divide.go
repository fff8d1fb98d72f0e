package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// accumulateAfter is how long a valued task waits, while less than half of its team's
	// limit is in use, until what is left is kept for it although it isn't enough yet: users
	// accept a wait of up to 3 s then.
	accumulateAfter = 2 * time.Second
	// never is the same for other tasks: it would keep the limit from what can start now.
	never = time.Duration(math.MaxInt64)
)

// claim is what a pool asks for of one resource.
type claim struct {
	amount int
	// unit is the part of it that has to start at once and that has waited longest.
	unit   int
	waited time.Duration
}

// divide returns the share of one of several claims, by max-min fairness. Where that leaves
// the oldest claim less than its unit, so that shares of several pools could all stay
// unused, the unit comes first; a share is of use only if a task can start with it. A unit
// that is larger than the total gets all of it once it has waited for a time.
func divide(total int, claims []claim, own int, accumulate time.Duration) int {
	amounts := amountsOf(claims)
	oldest := oldestOf(claims)
	if oldest < 0 {
		return 0
	}
	unit := min(claims[oldest].unit, claims[oldest].amount)
	if fairShare(total, claims[oldest].amount, slices.Clone(amounts)) >= unit {
		return fairShare(total, claims[own].amount, amounts)
	}
	if unit > total && claims[oldest].waited < accumulate {
		return fairShare(total, claims[own].amount, amounts)
	}
	first := min(unit, total)
	amounts[oldest] -= first
	share := fairShare(total-first, amounts[own], slices.Clone(amounts))
	if own == oldest {
		share += first
	}
	return share
}

func amountsOf(claims []claim) []int {
	amounts := make([]int, len(claims))
	for n, c := range claims {
		amounts[n] = c.amount
	}
	return amounts
}

// oldestOf returns the index of the claim that has waited longest, or -1 if nothing is
// claimed.
func oldestOf(claims []claim) int {
	oldest := -1
	for n, c := range claims {
		if c.amount > 0 && (oldest < 0 || c.waited > claims[oldest].waited) {
			oldest = n
		}
	}
	return oldest
}

// divideBehind returns the share that one of several claims behind the valued ones gets of a
// team's spare limit, and that of all of them. They get half, so that valued work that arrives
// in any pool can begin at once, or the oldest unit if that is more, which would else wait
// without end. A claim gets nothing if a task couldn't start with its share.
func divideBehind(spare int, claims []claim, own int) (share, all int) {
	for n, c := range claims {
		if c.unit > spare {
			claims[n].amount = 0
		}
	}
	oldest := oldestOf(claims)
	if oldest < 0 {
		return 0, 0
	}
	total := max(spare/2, claims[oldest].unit)
	for n, c := range claims {
		s := divide(total, claims, n, never)
		if s < min(c.unit, c.amount) {
			s = 0
		}
		all += s
		if n == own {
			share = s
		}
	}
	return share, all
}

// fairShare returns the share of one of several claims by max-min fairness: claims up to
// an even part are met in full, and the larger ones share what is left evenly. A claim in
// proportion to all of them could be met with less than one task for as long as a much
// larger one isn't used up. It sorts the claims.
func fairShare(total, claim int, claims []int) int {
	slices.Sort(claims)
	for n, c := range claims {
		even := total / (len(claims) - n)
		if c >= claim || c > even {
			return min(claim, even)
		}
		total -= c
	}
	return min(claim, total)
}
