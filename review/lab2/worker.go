package lab2

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small sites.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTakes   = 100 * time.Millisecond
	leaseCheck  = 10 * time.Millisecond
	endsAtOnce  = 500
	longestHold = 2 * time.Second
)

// Worker is a stand-in of a worker (a minion of the pages), for one life of a machine.
type Worker struct {
	ID, Service, Zone string
	Labels            []string
	CPU, Memory       int

	// RunTime returns how long a task takes.
	RunTime func(task, spec string) time.Duration
	// Unreachable reports whether the worker is cut off from the sender of an order, which
	// its fence number names; nil if from none.
	Unreachable func(fence int64) bool
	// Refuse returns a status with which an unhealthy worker refuses a start; 0 for none.
	Refuse func() int

	store  *Store
	log    *Log
	server *http.Server
	addr   string
	born   time.Time

	mu      sync.Mutex
	fence   int64
	lease   time.Duration
	running map[string]*running
	highest map[string]int
	ends    []end
	lastEnd int64
	changed chan struct{}
	gone    bool
	seq     int
}

type running struct {
	run      int
	spec     string
	begun    time.Time
	takes    time.Duration
	stopping time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// Start registers the worker and serves it on a free loopback port.
func (k *Worker) Start(s *Store, l *Log) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.store, k.log, k.addr, k.born = s, l, listener.Addr().String(), time.Now()
	k.running, k.highest, k.changed = map[string]*running{}, map[string]int{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", k.handleStart)
	mux.HandleFunc("POST /run-stop", k.handleStop)
	mux.HandleFunc("POST /hold", k.handleHold)
	mux.HandleFunc("POST /pace", k.handlePace)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	k.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if k.Unreachable != nil && r.Body != nil {
			data, _ := io.ReadAll(r.Body)
			var b orderBody
			if json.Unmarshal(data, &b) == nil && k.Unreachable(b.Fence) {
				panic(http.ErrAbortHandler) // the connection is reset, nothing has arrived
			}
			r.Body = io.NopCloser(bytes.NewReader(data))
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = k.server.Serve(listener) }()
	go k.work()
	go func() {
		for k.beat() {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (k *Worker) clock() time.Duration { return time.Since(k.born) + time.Minute }

func (k *Worker) clockMS() int64 { return k.clock().Milliseconds() }

func (k *Worker) beat() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return false
	}
	k.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": k.Service, "address": k.addr, "zone": k.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": k.CPU, "mem_mb": k.Memory, "gpu": 0}, "labels": k.Labels, "clock_ms": k.clockMS(), "seq": k.seq,
		"born": k.born.UnixMilli(),
	})
	k.store.Put("keyed.servers", k.ID, entry)
	return true
}

// Leave ends the worker and all that runs there.
func (k *Worker) Leave() {
	k.mu.Lock()
	k.gone = true
	for task, r := range k.running {
		k.log.Event("gone", "worker", k.ID, "task", task, "run", r.run)
	}
	k.running = map[string]*running{}
	k.mu.Unlock()
	_ = k.server.Close()
	k.store.Put("keyed.servers", k.ID, nil)
}

// Running returns the tasks that run there.
func (k *Worker) Running() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tasks []string
	for task := range k.running {
		tasks = append(tasks, task)
	}
	return tasks
}

// work ends tasks that are done, stopped or without a lease.
func (k *Worker) work() {
	for {
		time.Sleep(leaseCheck)
		k.mu.Lock()
		if k.gone {
			k.mu.Unlock()
			return
		}
		for task, r := range k.running {
			switch {
			case k.clock() > k.lease:
				k.finish(task, r, "lapsed")
			case !r.stopping.IsZero() && time.Since(r.stopping) > stopTakes:
				k.finish(task, r, "stopped")
			case r.takes > 0 && time.Since(r.begun) >= r.takes:
				k.finish(task, r, "done")
			}
		}
		k.mu.Unlock()
	}
}

func (k *Worker) finish(task string, r *running, how string) {
	delete(k.running, task)
	k.lastEnd++
	k.ends = append(k.ends, end{number: k.lastEnd, task: task, run: r.run, how: how})
	k.log.Event("end", "worker", k.ID, "task", task, "run", r.run, "how", how)
	close(k.changed)
	k.changed = make(chan struct{})
}

type orderBody struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMS int64 `json:"deadline_ms"`
	Fence      int64 `json:"fencing_token"`
	Ack        int64 `json:"ack_cursor"`
	WaitMS     int64 `json:"wait_ms"`
}

// read decodes an order and checks its fence number. It is called with the lock held.
func (k *Worker) read(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var b orderBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		k.reject(w, http.StatusBadRequest, "")
		return b, false
	}
	if b.Fence < k.fence {
		k.reject(w, http.StatusConflict, "fence")
		return b, false
	}
	k.fence = b.Fence
	return b, true
}

func (k *Worker) reject(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": k.clockMS(), "born": k.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(w, status, body)
}

func (k *Worker) extend(untilMS int64) {
	until := time.Duration(untilMS) * time.Millisecond
	k.lease = max(k.lease, min(until, k.clock()+maxHold))
}

func (k *Worker) handleStart(w http.ResponseWriter, r *http.Request) {
	if k.Refuse != nil {
		if status := k.Refuse(); status != 0 {
			k.log.Event("start refused", "worker", k.ID, "status", status)
			w.WriteHeader(status)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.read(w, r)
	if !ok {
		return
	}
	if at := k.running[b.Task]; at != nil && at.run == b.Run {
		k.extend(b.DeadlineMS)
		k.reject(w, http.StatusOK, "")
		return
	}
	if time.Duration(b.DeadlineMS)*time.Millisecond <= k.clock() {
		k.reject(w, http.StatusConflict, "late")
		return
	}
	k.extend(b.DeadlineMS)
	if b.Run <= k.highest[b.Task] || k.running[b.Task] != nil {
		k.reject(w, http.StatusConflict, "old")
		return
	}
	k.highest[b.Task] = b.Run
	run := &running{run: b.Run, spec: b.Spec, begun: time.Now()}
	if k.RunTime != nil {
		run.takes = k.RunTime(b.Task, b.Spec)
	}
	k.running[b.Task] = run
	k.log.Event("start", "worker", k.ID, "task", b.Task, "run", b.Run)
	k.reject(w, http.StatusOK, "")
}

func (k *Worker) handleStop(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.read(w, r)
	if !ok {
		return
	}
	if at := k.running[b.Task]; at != nil && at.run == b.Run && at.stopping.IsZero() {
		at.stopping = time.Now()
	}
	k.highest[b.Task] = max(k.highest[b.Task], b.Run)
	k.reject(w, http.StatusOK, "")
}

func (k *Worker) handlePace(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.read(w, r); ok {
		k.reject(w, http.StatusOK, "")
	}
}

func (k *Worker) handleHold(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.read(w, r)
	if !ok {
		return
	}
	if b.DeadlineMS > 0 {
		k.extend(b.DeadlineMS)
	}
	for len(k.ends) > 0 && k.ends[0].number <= b.Ack {
		k.ends = k.ends[1:]
	}
	deadline := time.After(min(time.Duration(b.WaitMS)*time.Millisecond, longestHold))
	for waiting := b.WaitMS > 0; waiting && len(k.ends) == 0 && !k.gone; {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		k.mu.Lock()
	}
	list, ends := [][]any{}, [][]any{}
	for task, at := range k.running {
		percent := 100
		if at.takes > 0 {
			percent = min(int(100*time.Since(at.begun)/at.takes), 99)
		}
		list = append(list, []any{task, at.run, "", percent, 0})
	}
	for _, e := range k.ends[:min(len(k.ends), endsAtOnce)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": k.clockMS(), "born": k.born.UnixMilli(), "running": list, "ended_runs": ends})
}

// JobOf returns the job that a task belongs to.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
