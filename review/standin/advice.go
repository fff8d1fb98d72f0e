package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Advisor is the advice service. It handles one call at a time, in turn, for its one
// calling machine, and allows every server to run every step.
type Advisor struct {
	Decide, Period, Validity time.Duration
	Record                   *Record

	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	tickets map[string]time.Time
	// Calls counts the calls that were answered, Refused those that weren't taken.
	Calls, Refused int
}

// maxWaiting is the number of waiting calls from which on calls are refused.
const maxWaiting = 32

// Serve serves the service and returns its address.
func (a *Advisor) Serve() (string, error) {
	a.tickets = map[string]time.Time{}
	return serve(a)
}

// ServeHTTP implements http.Handler.
func (a *Advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	if a.waiting >= maxWaiting {
		a.Refused++
		a.mu.Unlock()
		reply(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	time.Sleep(a.Decide + time.Duration(len(body.Workers))*a.Period)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.Calls++
	good := [][2]string{}
	for _, id := range body.Workers {
		ticket := fmt.Sprintf("%d-%s", a.Calls, id)
		a.tickets[body.Step+" "+ticket] = time.Now().Add(a.Validity)
		good = append(good, [2]string{id, ticket})
	}
	a.Record.Add("advice: %s for %d servers", body.Step, len(body.Workers))
	reply(w, http.StatusOK, map[string]any{"good": good, "validity_ms": a.Validity.Milliseconds()})
}

// Allows reports whether a ticket lets a task start on a server.
func (a *Advisor) Allows(server, task, ticket string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.HasSuffix(ticket, "-"+server) && time.Now().Before(a.tickets[step+" "+ticket])
}
