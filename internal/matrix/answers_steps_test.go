package matrix

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/standin"
)

// bodyEnd marks the end of a body that is written separately from its headers.
const bodyEnd = "END"

// answersStep is a point on a request's path at which a fault is injected.
type answersStep struct {
	name string
	// reached reports whether a dial (without data) or a write belongs to the
	// step. The fault is injected after delay.
	reached func(from, to string, data []byte) bool
	delay   time.Duration
	// prepare brings the fleet into a state in which the request takes the
	// step.
	prepare func(h *answersHarness)
	// afterArming completes the preparation once the fault is armed.
	afterArming func(h *answersHarness)
	// keyedOnly marks a step that only requests with an idempotency key reach.
	keyedOnly bool
	// taskStarted is set where the task has already started, answerSent where
	// the backend server has already sent its answer.
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

// armFault calls fault the first time that the step is reached, after the
// step's delay. The returned function reports whether that happened. The fault
// gets the name of the receiving host, or of the sender if that is a backend
// server.
func (h *answersHarness) armFault(s answersStep, fault func(worker string)) (injected func() bool) {
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

// submitInBackground submits requests that the checks ignore.
func (h *answersHarness) submitInBackground(entry, n int) {
	for range n {
		go h.submit(h.ctx, h.entries[entry], submission{queue: "previews", body: "other", timeout: 4 * time.Second})
	}
}

// fillSlots occupies all slots of the fleet for about a second.
func (h *answersHarness) fillSlots() {
	h.setFault(standin.Fault{Kind: standin.KindLate, DelayMS: 1000, Count: answersWorkers * answersSlotsPerWorker})
	h.submitInBackground(0, answersWorkers*answersSlotsPerWorker)
	time.Sleep(100 * time.Millisecond)
}

// useCredits occupies the credits of the first daemon for about a second.
func (h *answersHarness) useCredits() {
	h.setFault(standin.Fault{Kind: standin.KindLate, DelayMS: 1000, Count: 2})
	h.submitInBackground(0, 3)
	time.Sleep(200 * time.Millisecond)
}

// useReserve uses up the credits that a daemon holds in reserve.
func (h *answersHarness) useReserve() { h.submitInBackground(0, 3) }

// moveCredit lowers the team's limit to 1 and moves the only credit to the
// second daemon.
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

// answersFault is a fault that is injected at a step. It gets the name of the
// backend server that the step involves, if any.
type answersFault struct {
	name   string
	inject func(h *answersHarness, worker string)
	// altersAnswer marks a fault that changes an answer: it has no effect once
	// the answer is sent.
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

// workerOrFirst returns the named backend server, or the first if the step
// involves none.
func (h *answersHarness) workerOrFirst(name string) *worker {
	for _, w := range h.workers {
		if w.name == name {
			return w
		}
	}
	return h.workers[0]
}
