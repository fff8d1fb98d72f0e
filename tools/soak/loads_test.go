package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// Guards against CI seeds that play none of the loads.
func TestShortSeedsDrawLoads(t *testing.T) {
	is := is.New(t)
	is.True(drawLoads(2).surge)
	is.True(drawLoads(3).surge && drawLoads(3).openBodies)
	is.Equal(drawLoads(3), drawLoads(3))
	none := 0
	for seed := range uint64(40) {
		if l := drawLoads(seed); !l.surge && !l.openBodies {
			none++
		}
	}
	is.True(none > 0)
}

// Guards against a surge that counts as seen though no share held a start back: a line
// from before the surge, or of another event.
func TestSurgeTakesEffectWithHeldBackStarts(t *testing.T) {
	is := is.New(t)
	h := &harness{checker: newChecker(), daemons: []*process{{logFile: newLog(t)}, {logFile: newLog(t)}}}
	write := func(n int, line string) {
		_, err := h.daemons[n].logFile.WriteString(line)
		is.NoErr(err)
	}
	const heldBack = "level=info event=team.held_back unit=2 pool=p team=u\n"
	write(0, heldBack)
	f := h.surgeFault()
	f.begin()
	is.True(h.surging.Load())
	is.True(!f.effect())
	write(1, "level=info event=job.waits reason=\"the team's share\"\n")
	is.True(!f.effect())
	write(1, heldBack)
	is.True(f.effect())
	f.end()
	is.True(!h.surging.Load())
}

// Guards against slow tasks that run as briefly as the others, that count as seen before
// they are done, and that are drawn from runs with a time of their own.
func TestSlowTasks(t *testing.T) {
	is := is.New(t)
	c := newChecker()
	plan := &jobPlan{steps: []stepPlan{{count: 1}, {count: 1, gang: true}}}
	slow := 0
	for range 4 * slowEvery {
		is.True(!c.drawSlow(plan, 1))
		is.True(!c.drawSlow(&jobPlan{runTime: time.Second, steps: plan.steps}, 0))
		if c.drawSlow(plan, 0) {
			slow++
		}
	}
	is.Equal(slow, 4)
	is.Equal(c.counts.drawn[slowTasksKind], 4)
	r := &taskRun{plan: plan, slow: true}
	is.Equal(r.duration(time.Second), slowFactor*time.Second)
	is.Equal((&taskRun{plan: plan}).duration(time.Second), time.Second)
	i := &instance{id: "i"}
	for _, how := range []job.End{job.EndLost, job.EndLapsed, job.EndStopped, job.EndFailed} {
		c.ended(i, r, how)
	}
	c.ended(i, &taskRun{plan: plan}, job.EndDone)
	is.Equal(c.counts.effective[slowTasksKind], 0)
	c.ended(i, r, job.EndDone)
	is.Equal(c.counts.effective[slowTasksKind], 1)
}

// Guards against open bodies that count as seen though no daemon had to deal with them,
// and against a body cut short that is accepted without a report.
func TestOpenBodyTakesEffect(t *testing.T) {
	wait := func(http.ResponseWriter, *http.Request) { time.Sleep(2 * heldAfter) }
	refuse := func(w http.ResponseWriter, status int, closes bool) {
		if closes {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(status)
	}
	closes := func(w http.ResponseWriter, _ *http.Request) {
		// Without taking the connection over, the server would wait for the body's end.
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	}
	for _, c := range []struct {
		name     string
		handler  http.HandlerFunc
		after    time.Duration
		ended    bool
		want     bool
		reported int
	}{
		{"held", wait, heldAfter + 200*time.Millisecond, false, true, 0},
		{"held too briefly", wait, heldAfter / 4, false, false, 0},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusServiceUnavailable, true) }, 0, false, true, 0},
		{"refused for another reason", func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusUnauthorized, true) }, 0, false, false, 0},
		{"closed", closes, 0, false, true, 0},
		{"closed as the daemon ends", closes, 0, true, false, 0},
		{"accepted", func(w http.ResponseWriter, _ *http.Request) { refuse(w, http.StatusOK, true) }, 0, false, false, 1},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := httptest.NewServer(c.handler)
				defer server.Close()
				h := &harness{checker: newChecker()}
				h.operator = newOperator(h)
				d := &process{callersAddress: server.Listener.Addr().String()}
				d.life.Store(&life{})
				d.life.Load().toEnd.Store(c.ended)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.after > 0 {
					time.AfterFunc(c.after, cancel)
				}
				is.Equal(h.openBody(ctx, d, openBodyJob+"00000000", chunked), c.want)
				violations, _ := h.checker.result()
				is.Equal(len(violations), c.reported)
			})
		}
	}
	t.Run("no daemon", func(t *testing.T) {
		is := is.New(t)
		h := &harness{checker: newChecker()}
		h.operator = newOperator(h)
		server := httptest.NewServer(nil)
		d := &process{callersAddress: server.Listener.Addr().String()}
		server.Close()
		is.True(!h.openBody(context.Background(), d, openBodyJob+"00000000", false))
	})
}

// Guards against an open body that is complete or over the limit, and is then answered
// instead of held.
func TestOpenRequestLacksItsEnd(t *testing.T) {
	is := is.New(t)
	for _, chunked := range []bool{false, true} {
		header, body, _ := strings.Cut(openRequest("/a/x", chunked), "\r\n\r\n")
		if chunked {
			size, rest, _ := strings.Cut(body, "\r\n")
			is.Equal(size, fmt.Sprintf("%x", openBodyBytes))
			body = rest
		} else {
			is.True(strings.Contains(header, fmt.Sprintf("Content-Length: %d", openBodyBytes)))
		}
		is.Equal(len(body), openBodyBytes-openBodyMissing)
		is.True(openBodyBytes <= maxBodyBytes)
	}
}
