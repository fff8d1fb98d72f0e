package matrix

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/standin"
)

// answersCell injects one fault at one step, and in the cells of pairs a second
// fault soon after it.
type answersCell struct {
	step   answersStep
	fault  answersFault
	second *answersFault
	keyed  bool
}

// secondFaultDelay is the time between the two faults of a pair.
const secondFaultDelay = 50 * time.Millisecond

func (c answersCell) String() string {
	name := c.step.name + " x " + c.fault.name
	if c.second != nil {
		name += " + " + c.second.name
	}
	if c.keyed {
		return name + ", keyed"
	}
	return name
}

// impossibleReason returns why a cell can't occur, or "".
func (c answersCell) impossibleReason() string {
	switch {
	case c.step.keyedOnly && !c.keyed:
		return "a request without a key makes no claim"
	case c.step.answerSent && c.fault.altersAnswer:
		return "the backend server has already sent the answer"
	case c.step.taskStarted && c.fault.name == "refused":
		return "a started task can't be refused"
	case c.step.name == "accept" && (c.fault.name == "kill entry" || c.fault.name == "cut caller"):
		return "without a connection there is no request"
	default:
		return ""
	}
}

// answersRun holds a cell's request and the replies to it.
type answersRun struct {
	harness *answersHarness
	body    string
	key     string
	replies []reply
}

// run sends the request, injects the fault at the step, repeats a keyed request
// through every daemon, and checks the replies against what the backend servers
// started.
func (c answersCell) run(t *testing.T) error {
	var failure error
	synctest.Test(t, func(t *testing.T) {
		h := newAnswersHarness(t, 3)
		defer h.close()
		run := &answersRun{harness: h, body: "tag " + strings.Repeat("x", 8<<10) + bodyEnd}
		if c.keyed {
			run.key = "order-7"
		}
		h.warmUp()
		if c.step.prepare != nil {
			c.step.prepare(h)
		}
		injected := h.armFault(c.step, func(worker string) { c.injectFaults(h, worker) })
		if c.step.afterArming != nil {
			c.step.afterArming(h)
		}
		run.submit(h.entries[0])
		if !injected() {
			failure = errors.New("the step was not reached")
			return
		}
		h.network.mu.Lock()
		h.network.observer = nil
		h.network.mu.Unlock()
		if c.keyed {
			run.repeatThroughAll()
		} else {
			time.Sleep(time.Minute)
		}
		failure = run.check(c)
	})
	return failure
}

func (c answersCell) injectFaults(h *answersHarness, worker string) {
	c.fault.inject(h, worker)
	if c.second != nil {
		time.AfterFunc(secondFaultDelay, func() { c.second.inject(h, worker) })
	}
}

// warmUp opens the connections that the request will reuse, and gives each
// backend server an earlier answer to send in place of the right one.
func (h *answersHarness) warmUp() {
	for i := range 3 {
		done := make(chan struct{})
		for range answersWorkers {
			go func() {
				h.submit(h.ctx, h.entries[i], submission{queue: "orders", body: "other", timeout: 3 * time.Second})
				done <- struct{}{}
			}()
		}
		for range answersWorkers {
			<-done
		}
	}
	time.Sleep(3 * time.Second)
}

func (run *answersRun) submit(e *entryInstance) {
	ctx, cancel := context.WithTimeout(run.harness.ctx, 20*time.Second)
	defer cancel()
	s := submission{queue: "orders", body: run.body, key: run.key, timeout: 3 * time.Second}
	run.replies = append(run.replies, run.harness.submit(ctx, e, s))
}

// repeatThroughAll sends the same key through every running daemon, three times
// over 35 s, and last through a daemon started afterwards.
func (run *answersRun) repeatThroughAll() {
	for _, pause := range []time.Duration{0, 5 * time.Second, 30 * time.Second} {
		time.Sleep(pause)
		for _, e := range run.harness.runningEntries() {
			run.submit(e)
		}
	}
	e := run.harness.addEntry()
	time.Sleep(30 * time.Second)
	run.submit(e)
}

// check checks the replies and the team's limit against what the backend
// servers started.
func (run *answersRun) check(c answersCell) error {
	starts := run.harness.starts(run.body)
	if starts > 1 {
		return errors.Errorf("started %d times: %s", starts, run.describeReplies())
	}
	for i, r := range run.replies {
		switch {
		case r.err != nil:
		case r.ok() && r.body != expectedAnswer(run.body):
			return errors.Errorf("reply %d has the wrong body", i)
		case r.verdict != "not-run" && r.verdict != "may-have-run" && r.startsSeen == 0:
			return errors.Errorf("reply %d reports an outcome, but no task had started: %s", i, run.describeReplies())
		case r.verdict == "not-run" && r.startsSeen > 0:
			return errors.Errorf("reply %d has verdict not-run, but the task had started: %s", i, run.describeReplies())
		case r.verdict == "not-run" && !c.keyed && starts > 0:
			return errors.Errorf("reply %d has verdict not-run, but the task started later: %s", i, run.describeReplies())
		}
	}
	if peak := run.harness.recorder.Report().Peaks["vets"]; peak > answersTeamLimit {
		return errors.Errorf("%d tasks ran at once, above the limit of %d", peak, answersTeamLimit)
	}
	if c.second != nil {
		return nil
	}
	return run.checkRecovery(c)
}

// checkRecovery checks that after a single fault the last repetition returned
// an outcome, and that a new request is served.
func (run *answersRun) checkRecovery(c answersCell) error {
	last := run.replies[len(run.replies)-1]
	if c.keyed && (last.err != nil || last.verdict == "not-run") {
		return errors.Errorf("the last repetition returned no outcome: %s", run.describeReplies())
	}
	run.harness.setFault(standin.Fault{Kind: standin.KindNone})
	running := run.harness.runningEntries()
	s := submission{queue: "orders", body: "new", timeout: 3 * time.Second}
	if c.keyed {
		s.key = "order-8"
	}
	if r := run.harness.submit(run.harness.ctx, running[len(running)-1], s); !r.ok() {
		return errors.Errorf("a new request failed: %d %s %s %v", r.status, r.verdict, r.code, r.err)
	}
	return nil
}

func expectedAnswer(body string) string { return "done: " + body }

func (run *answersRun) describeReplies() string {
	var b strings.Builder
	for _, r := range run.replies {
		fmt.Fprintf(&b, "[%d %s %s %v]", r.status, r.verdict, r.code, r.err)
	}
	return b.String()
}

func answersCells() []answersCell {
	var cells []answersCell
	for _, s := range answersSteps {
		for _, f := range answersFaults {
			cells = append(cells, answersCell{step: s, fault: f}, answersCell{step: s, fault: f, keyed: true})
		}
	}
	return cells
}

// TestAnswersMatrix injects every fault at every step of a non-idempotent
// request.
func TestAnswersMatrix(t *testing.T) { runAnswers(t, "answers", answersCells(), answersStride) }

// Without -matrix.all, one cell in answersStride and one pair in pairsStride
// runs.
const (
	answersStride = 4
	pairsStride   = 31
)

var allCells = flag.Bool("matrix.all", false, "run every cell and print a line for each step")

// runAnswers runs every cell, or every stride-th one without -matrix.all, in
// parallel.
func runAnswers(t *testing.T, matrix string, cells []answersCell, stride int) {
	tallied := &tallies{matrix: matrix, byStep: map[string]*tally{}}
	t.Run("cells", func(t *testing.T) {
		for i, c := range cells {
			if reason := c.impossibleReason(); reason != "" {
				tallied.add(c.step.name, impossible)
				t.Logf("impossible: %s: %s", c, reason)
				continue
			}
			if !*allCells && i%stride != 0 {
				continue
			}
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				outcome := passed
				if err := c.run(t); err != nil {
					outcome = failed
					t.Error(err)
				}
				tallied.add(c.step.name, outcome)
			})
		}
	})
	if *allCells {
		tallied.print()
	}
}

// outcome is the result of a cell.
type outcome int

const (
	passed outcome = iota
	impossible
	failed
)

// tally counts cells by outcome.
type tally struct{ counts [failed + 1]int }

func (t *tally) String() string {
	cells := t.counts[passed] + t.counts[impossible] + t.counts[failed]
	return fmt.Sprintf("cells=%d passed=%d impossible=%d failed=%d",
		cells, t.counts[passed], t.counts[impossible], t.counts[failed])
}

// tallies holds the tallies of one matrix by step. It is safe for concurrent
// use.
type tallies struct {
	matrix string

	mu     sync.Mutex
	byStep map[string]*tally
	total  tally
}

func (ts *tallies) add(step string, o outcome) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.byStep[step] == nil {
		ts.byStep[step] = &tally{}
	}
	ts.byStep[step].counts[o]++
	ts.total.counts[o]++
}

func (ts *tallies) print() {
	for _, s := range answersSteps {
		if n := ts.byStep[s.name]; n != nil {
			fmt.Printf("matrix %s step=%q %s\n", ts.matrix, s.name, n)
		}
	}
	fmt.Printf("matrix %s %s\n", ts.matrix, &ts.total)
}
