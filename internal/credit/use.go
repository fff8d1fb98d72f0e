package credit

// Use returns how many credits of a team are in use at this member, and how
// many requests wait for one.
func (a *Account) Use(team string) (held, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.teams[team]
	if !ok {
		return 0, 0
	}
	return b.held, b.waiting
}
