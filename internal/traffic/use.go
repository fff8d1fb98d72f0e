package traffic

// Use returns how many tasks of a team hold a credit at this daemon, and how
// many requests wait for one.
func (a *Account) Use(team string) (held, waiting int) { return a.credits.Use(team) }
