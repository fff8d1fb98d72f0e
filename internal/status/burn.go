package status

import (
	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
)

// Burn is one daemon's view of the service-level counts.
type Burn struct {
	// Next is the offset of the next record to fold.
	Next int64 `json:"next"`
	// Services are the services of the active configuration.
	Services map[string]configuration.Service `json:"services"`
	// Folded are the counts of all daemons that were read from the log.
	Folded burn.State `json:"folded"`
	// Pending are this daemon's counts that aren't in the log yet.
	Pending []record.BurnCount `json:"pending"`
}
