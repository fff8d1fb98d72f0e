package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the backend servers' protocol.
const (
	headerTaskID      = "Task-Id"
	headerQueue       = "Task-Queue"
	headerTeam        = "Task-Team"
	headerStartBefore = "Task-Start-Before"
	headerLease       = "Task-Lease"
	headerInstance    = "Task-Instance"
	headerVerdict     = "Task-Verdict"
	headerDigest      = "Content-Digest"
	headerLeaving     = "Task-Leaving"
)

// AnswerPrefix precedes the echoed body in an answer.
const AnswerPrefix = "done: "

const (
	maxTaskBytes  = 64 << 20
	maxStoppedIDs = 4096 // when there are more, all are dropped
)

// Backend is one backend server. It implements http.Handler; its methods may be
// called concurrently.
type Backend struct {
	listing  Listing
	runTime  time.Duration
	recorder *Recorder
	faults   faults
	mux      *http.ServeMux

	mu           sync.Mutex
	leaving      bool
	running      map[string][]*execution
	runningCount int
	// stoppedIDs holds the tasks that must never start.
	stoppedIDs map[string]bool
	lastAnswer *answer
}

// execution is one run of a task: stop is closed to end it, ended when it has
// ended.
type execution struct {
	stop  chan struct{}
	ended chan struct{}
	once  sync.Once
}

type answer struct {
	taskID      string
	status      int
	contentType string
	body        []byte
}

type stopResult struct {
	Over bool `json:"over"`
}

type usage struct {
	Instance string  `json:"instance"`
	Running  int     `json:"running"`
	Slots    int     `json:"slots"`
	Leaving  bool    `json:"leaving"`
	CPU      float64 `json:"cpu"`
	Memory   float64 `json:"memory"`
}

// NewBackend returns a backend server whose tasks run for runTime. It records each
// start in rec.
func NewBackend(l Listing, runTime time.Duration, rec *Recorder) *Backend {
	b := &Backend{
		listing:    l,
		runTime:    runTime,
		recorder:   rec,
		mux:        http.NewServeMux(),
		running:    map[string][]*execution{},
		stoppedIDs: map[string]bool{},
	}
	b.mux.HandleFunc("POST /v1/tasks", b.postTask)
	b.mux.HandleFunc("DELETE /v1/tasks/{id}", b.deleteTask)
	b.mux.HandleFunc("GET /v1/usage", b.getUsage)
	return b
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.mux.ServeHTTP(w, r) }

// SetFault activates a fault, or clears all faults if its kind is KindNone.
func (b *Backend) SetFault(f Fault) { b.faults.set(f) }

// SetLeaving sets whether the instance announces that it is leaving.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

func (b *Backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// StopTasks stops all running tasks, as a crash or a reboot does.
func (b *Backend) StopTasks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.running {
		for _, e := range list {
			e.halt()
		}
	}
}

// halt requests the end of the run. It may be called repeatedly.
func (e *execution) halt() { e.once.Do(func() { close(e.stop) }) }

func (b *Backend) postTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBytes))
	if err != nil {
		refuse(w, r, "the body is too large or incomplete")
		return
	}
	b.faults.beforeEffect(r.Context())
	if b.isLeaving() {
		w.Header().Set(headerLeaving, "true")
	}
	if _, ok := b.faults.consume(KindRefuse); ok {
		refuse(w, r, "refused by a fault")
		return
	}
	if d := r.Header.Get(headerDigest); d != "" && d != digest(body) {
		refuse(w, r, "the body doesn't match its digest")
		return
	}
	before, err := strconv.ParseInt(r.Header.Get(headerStartBefore), 10, 64)
	if err == nil && time.Now().UnixMilli() > before {
		refuse(w, r, "the latest start time has passed")
		return
	}
	id := r.Header.Get(headerTaskID)
	e, ok := b.begin(id)
	if !ok {
		refuse(w, r, "no slot is free, or the task was stopped")
		return
	}
	b.writeAnswer(w, b.execute(e, r.Header, body))
}

// refuse answers that the task was not run.
func refuse(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set(headerTaskID, r.Header.Get(headerTaskID))
	w.Header().Set(headerVerdict, "not-run")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// begin occupies a slot for a run. It returns false if none is free or the task was
// stopped.
func (b *Backend) begin(id string) (*execution, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runningCount >= b.listing.Slots || b.stoppedIDs[id] {
		return nil, false
	}
	e := &execution{stop: make(chan struct{}), ended: make(chan struct{})}
	b.running[id] = append(b.running[id], e)
	b.runningCount++
	return e, true
}

// end frees the slot of a run.
func (b *Backend) end(id string, e *execution) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.running[id]
	for i := range list {
		if list[i] == e {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	b.running[id] = list
	if len(list) == 0 {
		delete(b.running, id)
	}
	b.runningCount--
	close(e.ended)
}

// execute runs a task until it is done, stopped or its lease expires.
func (b *Backend) execute(e *execution, h http.Header, body []byte) *answer {
	id, team := h.Get(headerTaskID), h.Get(headerTeam)
	b.recorder.started(Start{
		TaskID:     id,
		Queue:      h.Get(headerQueue),
		Team:       team,
		Instance:   b.listing.Instance,
		DataCentre: b.listing.DataCentre,
		Body:       excerpt(body),
		AtMS:       time.Now().UnixMilli(),
	})
	defer b.recorder.ended(team)
	defer b.end(id, e)
	a := &answer{taskID: id, status: http.StatusOK, contentType: h.Get("Content-Type")}
	if _, ok := b.faults.consume(KindFails); ok {
		a.status, a.body = http.StatusInternalServerError, []byte("failed")
		return a
	}
	done := time.NewTimer(b.runTime)
	defer done.Stop()
	var leaseExpired <-chan time.Time
	if ms, err := strconv.ParseInt(h.Get(headerLease), 10, 64); err == nil {
		leaseExpired = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case <-done.C:
		a.body = append([]byte(AnswerPrefix), body...)
	case <-leaseExpired:
		a.status, a.body = http.StatusGatewayTimeout, []byte("the lease has expired")
	case <-e.stop:
		a.status, a.body = http.StatusInternalServerError, []byte("stopped")
	}
	return a
}

// writeAnswer sends an answer, subject to the faults that follow the effect.
func (b *Backend) writeAnswer(w http.ResponseWriter, a *answer) {
	b.mu.Lock()
	previous := b.lastAnswer
	b.lastAnswer = a
	b.mu.Unlock()
	b.faults.afterEffect()
	if _, ok := b.faults.consume(KindCrossed); ok && previous != nil {
		a = previous
	}
	h := w.Header()
	h.Set(headerTaskID, a.taskID)
	h.Set(headerInstance, b.listing.Instance)
	h.Set("Content-Type", a.contentType)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set(headerDigest, digest(a.body))
	w.WriteHeader(a.status)
	if _, ok := b.faults.consume(KindTruncated); ok {
		_, _ = w.Write(a.body[:len(a.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a.body)
}

// deleteTask stops a task and waits for its end. A task that arrives later never
// starts.
func (b *Backend) deleteTask(w http.ResponseWriter, r *http.Request) {
	b.faults.beforeEffect(r.Context())
	id := r.PathValue("id")
	b.mu.Lock()
	if len(b.stoppedIDs) >= maxStoppedIDs {
		clear(b.stoppedIDs)
	}
	b.stoppedIDs[id] = true
	list := append([]*execution(nil), b.running[id]...)
	b.mu.Unlock()
	for _, e := range list {
		e.halt()
		<-e.ended
	}
	b.faults.afterEffect()
	writeJSON(w, http.StatusOK, stopResult{Over: true})
}

func (b *Backend) getUsage(w http.ResponseWriter, r *http.Request) {
	b.faults.beforeEffect(r.Context())
	b.mu.Lock()
	u := usage{
		Instance: b.listing.Instance,
		Running:  b.runningCount,
		Slots:    b.listing.Slots,
		Leaving:  b.leaving,
		CPU:      float64(b.runningCount) / float64(b.listing.Slots),
	}
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, u)
}

// digest returns the value of the Content-Digest header for a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
