package status

// Route tells which queue a daemon's active configuration assigns to a request's
// host and path, and what applies to its jobs.
type Route struct {
	// Configuration is the version of the active configuration.
	Configuration int64 `json:"configuration"`
	// Queue is the name of the queue; empty if no queue takes the path.
	Queue string `json:"queue"`
	// Prefix is the path prefix of the queue, Rest the path after it: a job's ID.
	Prefix string `json:"prefix"`
	Rest   string `json:"rest"`
	// Pool is the pool that runs the queue's tasks, PoolKnown whether the
	// configuration describes it.
	Pool      string `json:"pool"`
	PoolKnown bool   `json:"poolKnown"`
	Public    bool   `json:"public"`
	Priority  int    `json:"priority"`
	// MaxFailures is the number of failed runs of a task at which its job fails; 0
	// means no limit.
	MaxFailures int `json:"maxFailures"`
	// Stretch times a job's critical path plus TargetLatency, in milliseconds, is
	// the job's objective.
	Stretch       float64 `json:"stretch"`
	TargetLatency int64   `json:"targetLatencyMs"`
	// Advised queues start tasks only where the advisor allows it.
	Advised bool `json:"advised"`
	// BodyBytes is the limit of a request's body; 0 means the daemon's default.
	BodyBytes int64 `json:"bodyBytes"`
	// Shadowed are queues with shorter prefixes that match too, longest first.
	Shadowed []ShadowedRoute `json:"shadowed,omitempty"`
}

// ShadowedRoute is a queue that a longer prefix hides for a path.
type ShadowedRoute struct {
	Queue  string `json:"queue"`
	Prefix string `json:"prefix"`
}
