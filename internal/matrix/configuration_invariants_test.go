package matrix

import (
	"context"
	"net/http"
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/replay"
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

// checkPools folds the control stream and checks that every adoption names a pool, and
// that no instance is adopted while it is in one. It begins with the newest checkpoint if
// the log has dropped its first records.
func (h *configurationHarness) checkPools() {
	stream := h.log.stream(platform.StreamControl)
	state := controlstate.New()
	if stream.oldest > 0 {
		var err error
		if state, err = replay.Checkpoint(context.Background(), newLogPort(h.log)); err != nil {
			h.t.Errorf("read the checkpoint: %v", err)
			return
		}
	}
	pools := map[string]string{}
	state.Snapshot().Fleet.Each(func(inst *fleet.Instance) { pools[inst.Name] = inst.Pool })
	for n, data := range stream.entries {
		at := stream.oldest + record.Offset(n)
		if at < state.Next() {
			continue
		}
		e, out, err := state.FoldData(at, data)
		if err != nil {
			h.t.Errorf("fold record %d: %v", at, err)
			continue
		}
		switch b := e.Body.(type) {
		case record.Adopt:
			if b.Pool == "" {
				h.t.Errorf("%s was adopted into no pool", b.Instance)
			}
			if out.Accepted && pools[b.Instance] != "" {
				h.t.Errorf("%s was adopted into %s while in %s", b.Instance, b.Pool, pools[b.Instance])
			}
			if out.Accepted {
				pools[b.Instance] = b.Pool
			}
		case record.Remove:
			if out.Accepted {
				delete(pools, b.Instance)
			}
		}
	}
	state.Snapshot().Fleet.Each(func(inst *fleet.Instance) {
		if pools[inst.Name] == "" {
			h.t.Errorf("%s is in %s without having been adopted", inst.Name, inst.Pool)
		}
	})
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
