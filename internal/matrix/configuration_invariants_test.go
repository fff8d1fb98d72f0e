package matrix

import (
	"net/http"
	"time"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// checkAll checks the invariants of every cell.
func (h *configurationHarness) checkAll() {
	h.t.Helper()
	for _, drop := range h.revisionDrops {
		h.t.Errorf("a daemon's revision went back: %s", drop)
	}
	starts := map[string]int{}
	for _, st := range h.backend.starts {
		starts[st.body]++
		if st.queue == "orders" && starts[st.body] > 1 {
			h.t.Errorf("started twice: %s", st.body)
		}
	}
	for team, peak := range h.backend.peakByTeam {
		if peak > teamLimit {
			h.t.Errorf("team %s had %d tasks running, above its limit of %d", team, peak, teamLimit)
		}
	}
	for _, r := range h.results {
		switch {
		case r.status == http.StatusOK && !r.bodyMatches:
			h.t.Errorf("wrong answer for %s", r.body)
		case r.verdict == "not-run" && starts[r.body] > 0:
			h.t.Errorf("refused as not run, but started: %s (%s)", r.body, r.code)
		}
	}
	h.checkPools()
}

// checkPools checks that every adoption in the log names a pool.
func (h *configurationHarness) checkPools() {
	adopted := map[string]int{}
	for _, data := range h.log.stream(platform.StreamControl).entries {
		e, err := record.Decode(data)
		if err != nil {
			h.t.Errorf("decode a record in the log: %v", err)
			continue
		}
		if a, ok := e.Body.(record.Adopt); ok && a.Pool == "" {
			adopted[a.Instance]++
		}
	}
	for name := range adopted {
		h.t.Errorf("%s was adopted into no pool", name)
	}
}

// startsAfter counts the matching tasks that started after the given time.
func (h *configurationHarness) startsAfter(at time.Time, match func(taskStart) bool) int {
	n := 0
	for _, st := range h.backend.starts {
		if st.at.After(at) && match(st) {
			n++
		}
	}
	return n
}
