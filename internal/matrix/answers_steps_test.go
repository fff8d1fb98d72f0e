package matrix

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/standin"
)

// bodyEnd marks the end of a body that is sent apart from its headers.
const bodyEnd = "END"

// answersStep is a point on a request's way at which a fault strikes.
type answersStep struct {
	name string
	// reached tells whether a dial (without data) or a write is the step.
	// After a delay the fault strikes.
	reached func(from, to string, data []byte) bool
	delay   time.Duration
	// prepare makes the request come by the step.
	prepare func(h *answersHarness)
	// afterArming follows it, once the fault is armed.
	afterArming func(h *answersHarness)
	// keyedOnly steps are passed by requests with an idempotency key only.
	keyedOnly bool
	// taskStarted is set where the task has taskStarted, answerSent where its answer
	// has left the backend server.
	taskStarted, answerSent bool
}

const firstEntry = "entry-0"

func fromFirstEntry(from, to, hostPrefix string) bool {
	return from == firstEntry && strings.HasPrefix(to, hostPrefix)
}

func contains(data []byte, text string) bool { return bytes.Contains(data, []byte(text)) }

var answersSteps = []answersStep{
	{name: "accept", reached: func(from, to string, data []byte) bool {
		return from == "caller" && to == firstEntry && data == nil
	}},
	{name: "authenticate", reached: func(from, to string, data []byte) bool {
		return from == "caller" && to == firstEntry && contains(data, "POST /v1/queues")
	}},
	{name: "admit", reached: func(from, to string, data []byte) bool {
		return from == "caller" && to == firstEntry && contains(data, bodyEnd)
	}},
	{name: "claim", keyedOnly: true, reached: func(from, to string, data []byte) bool {
		return (from == firstEntry || to == firstEntry) && contains(data, "Claim.")
	}},
	{name: "copy", keyedOnly: true, reached: func(_, _ string, data []byte) bool { return contains(data, "Claim.Transfer") }},
	{name: "queue", prepare: (*answersHarness).fillSlots, delay: 100 * time.Millisecond, reached: func(from, to string, data []byte) bool {
		return from == "caller" && to == firstEntry && contains(data, bodyEnd)
	}},
	{name: "take credit", prepare: (*answersHarness).useCredits, afterArming: (*answersHarness).useReserve, reached: func(from, to string, data []byte) bool {
		return fromFirstEntry(from, to, "log") && data != nil
	}},
	{name: "forward", prepare: (*answersHarness).moveCredit, reached: func(from, to string, data []byte) bool {
		return fromFirstEntry(from, to, "entry-") && contains(data, "Task.Forward")
	}},
	{name: "connect", reached: func(from, to string, data []byte) bool {
		return fromFirstEntry(from, to, "worker-") && contains(data, "POST /v1/tasks")
	}},
	{name: "write", delay: time.Nanosecond, taskStarted: true, reached: func(from, to string, data []byte) bool {
		return fromFirstEntry(from, to, "worker-") && contains(data, bodyEnd)
	}},
	{name: "wait", delay: taskDuration / 2, taskStarted: true, reached: func(from, to string, data []byte) bool {
		return fromFirstEntry(from, to, "worker-") && contains(data, bodyEnd)
	}},
	{name: "read", taskStarted: true, answerSent: true, reached: func(from, to string, data []byte) bool {
		return strings.HasPrefix(from, "worker-") && to == firstEntry && contains(data, "HTTP/1.1")
	}},
	{name: "answer", taskStarted: true, answerSent: true, reached: func(from, to string, data []byte) bool {
		return from == firstEntry && to == "caller" && contains(data, "HTTP/1.1")
	}},
}

// armFault arms a fault for the first time that a step is reached.
func (h *answersHarness) armFault(s answersStep, fault func(worker string)) (struck func() bool) {
	var once sync.Once
	fired := false
	var mu sync.Mutex
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.observer = func(from, to string, data []byte) {
		if !s.reached(from, to, data) {
			return
		}
		once.Do(func() {
			mu.Lock()
			fired = true
			mu.Unlock()
			worker := to
			if strings.HasPrefix(from, "worker-") {
				worker = from
			}
			if s.delay > 0 {
				time.AfterFunc(s.delay, func() { fault(worker) })
				return
			}
			fault(worker)
		})
	}
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return fired
	}
}

// submitInBackground submits other requests, which the judge ignores.
func (h *answersHarness) submitInBackground(entry, n int) {
	for range n {
		go h.submit(h.ctx, h.entries[entry], submission{queue: "previews", body: "other", timeout: 4 * time.Second})
	}
}

// fillSlots keeps all slots of the fleet busy for a while.
func (h *answersHarness) fillSlots() {
	h.setFault(standin.Fault{Kind: standin.KindLate, DelayMS: 1000, Count: answersWorkers * answersSlotsPerWorker})
	h.submitInBackground(0, answersWorkers*answersSlotsPerWorker)
	time.Sleep(100 * time.Millisecond)
}

// useCredits keeps the credits of the first daemon in use.
func (h *answersHarness) useCredits() {
	h.setFault(standin.Fault{Kind: standin.KindLate, DelayMS: 1000, Count: 2})
	h.submitInBackground(0, 3)
	time.Sleep(200 * time.Millisecond)
}

// useReserve uses up the credits that a daemon keeps idle.
func (h *answersHarness) useReserve() { h.submitInBackground(0, 3) }

// moveCredit leaves the team's only credit with the second daemon.
func (h *answersHarness) moveCredit() {
	doc := answersDocument()
	team := doc.Teams["vets"]
	team.Limit = 1
	doc.Teams["vets"] = team
	h.apply(doc)
	time.Sleep(5 * time.Second)
	for range 20 {
		h.submit(h.ctx, h.entries[1], submission{queue: "previews", body: "other", timeout: 4 * time.Second})
	}
}

// answersFault is a fault that strikes at a step. It is given the backend
// server that the step concerns, if any.
type answersFault struct {
	name   string
	inject func(h *answersHarness, worker string)
	// altersAnswer faults change an answer, and can't strike once it has left.
	altersAnswer bool
}

func workerFault(kind standin.Kind, delay time.Duration) func(*answersHarness, string) {
	return func(h *answersHarness, _ string) {
		h.setFault(standin.Fault{Kind: kind, DelayMS: delay.Milliseconds(), Count: 1})
	}
}

var answersFaults = []answersFault{
	{name: "none", inject: func(*answersHarness, string) {}},
	{name: "kill entry", inject: func(h *answersHarness, _ string) { h.killEntry(h.entries[0]) }},
	{name: "freeze entry", inject: func(h *answersHarness, _ string) { h.network.stall(firstEntry, 8*time.Second) }},
	{name: "kill peer", inject: func(h *answersHarness, _ string) { h.killEntry(h.entries[1]) }},
	{name: "freeze peer", inject: func(h *answersHarness, _ string) { h.network.stall("entry-1", 8*time.Second) }},
	{name: "stop entry", inject: func(h *answersHarness, _ string) { h.stopEntry(h.entries[0]) }},
	{name: "kill worker", inject: func(h *answersHarness, name string) { h.killWorker(h.workerOrFirst(name)) }},
	{name: "freeze worker", inject: func(h *answersHarness, name string) { h.network.stall(h.workerOrFirst(name).name, 8*time.Second) }},
	{name: "cut from worker", inject: func(h *answersHarness, name string) {
		h.network.cut(firstEntry, h.workerOrFirst(name).name, time.Second)
	}},
	{name: "cut from peers", inject: func(h *answersHarness, _ string) {
		h.network.cut(firstEntry, "entry-1", 5*time.Second)
		h.network.cut(firstEntry, "entry-2", 5*time.Second)
	}},
	{name: "cut caller", inject: func(h *answersHarness, _ string) { h.network.cut("caller", firstEntry, time.Second) }},
	{name: "log down", inject: func(h *answersHarness, _ string) {
		h.log.SetFault(standin.Fault{Kind: standin.KindDown})
		time.AfterFunc(10*time.Second, func() { h.log.SetFault(standin.Fault{Kind: standin.KindNone}) })
	}},
	{name: "refused", inject: workerFault(standin.KindRefuse, 0)},
	{name: "fails", inject: workerFault(standin.KindFails, 0)},
	{name: "answer late", altersAnswer: true, inject: workerFault(standin.KindLate, 5*time.Second)},
	{name: "answer lost", altersAnswer: true, inject: workerFault(standin.KindReplyLost, 0)},
	{name: "answer cut", altersAnswer: true, inject: workerFault(standin.KindTruncated, 0)},
	{name: "answer crossed", altersAnswer: true, inject: workerFault(standin.KindCrossed, 0)},
}

// workerOrFirst returns the backend server, or the first where a step concerns
// none.
func (h *answersHarness) workerOrFirst(name string) *worker {
	for _, w := range h.workers {
		if w.name == name {
			return w
		}
	}
	return h.workers[0]
}
