package schedule

// LastRanks returns the ranks under shortage of a job just before it is late, and just
// before it has no value left.
func LastRanks(in RankInput) (inTime, late float64) {
	in.Backlog = max(in.Backlog, overloadBacklog)
	_, inTime = Rank(in.Accepted.Add(in.Objective-in.CriticalPath), in)
	_, late = Rank(in.Accepted.Add(noValueAfter*in.Objective-in.CriticalPath), in)
	return inTime, late
}
