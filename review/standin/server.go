package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease in milliseconds.
	maxHold = 10000
	// endsPerAnswer is how many ends one answer lists.
	endsPerAnswer = 500
	heartbeat     = 1500 * time.Millisecond
	stopTime      = 50 * time.Millisecond
)

// Resources is an amount of each resource.
type Resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// Run is one run of a task on a server, as the server saw it.
type Run struct {
	Task   string
	Number int
	Server string
	Born   int64
	Start  time.Time
	// How is empty while the task runs, "crash" if the server crashed.
	How string
	End time.Time
	// Acked is when the end was acknowledged; zero before.
	Acked time.Time

	end int64
}

// Ledger holds all runs. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   []*Run
	Record *Record
}

// Runs returns copies of all runs in the order of their starts.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// Server is a backend server that runs tasks. It doesn't guard its capacity. Its
// fields are set before Start.
type Server struct {
	ID       string
	Machine  string
	Service  string
	Zone     string
	Labels   []string
	Capacity Resources
	Store    *Store
	Ledger   *Ledger
	// Work returns how long a run takes and how it ends; 0 means that it goes on.
	Work func(task string, run int) (time.Duration, string)
	// OnStart is called with the server's lock after a task has begun; nil for none.
	OnStart func(r *Run)
	// Listen is the address of the server itself, Address the one that it registers.
	Listen, Address string

	mu      sync.Mutex
	up      bool
	born    int64
	begin   time.Time
	fence   int64
	seq     int
	until   int64
	running map[string]*Run
	// highest is the highest run of each task that ended or was stopped here.
	highest map[string]int
	ended   []*Run
	ends    int64
	changed chan struct{}
	server  *http.Server
	cancel  context.CancelFunc
}

// Start begins a new life of the server.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.up, s.born, s.begin, s.fence, s.seq, s.until, s.ends = true, time.Now().UnixMilli(), time.Now(), 0, 0, 0, 0
	s.running, s.highest, s.ended = map[string]*Run{}, map[string]int{}, nil
	s.changed, s.cancel = make(chan struct{}), cancel
	s.server = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(l) }(s.server)
	s.register()
	go s.keep(ctx)
	return nil
}

// keep writes heartbeats and ends the runs whose lease has expired.
func (s *Server) keep(ctx context.Context) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	next := time.Now().Add(heartbeat)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.mu.Lock()
			if ctx.Err() == nil && len(s.running) > 0 && s.clock() >= s.until {
				for key := range s.running {
					s.finish(key, "lapsed")
				}
			}
			if ctx.Err() == nil && now.After(next) {
				next = now.Add(heartbeat)
				s.register()
			}
			s.mu.Unlock()
		}
	}
}

// register writes the server's entry. The caller holds the lock.
func (s *Server) register() {
	s.seq++
	value, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": s.Capacity, "labels": s.Labels, "clock_ms": s.clock(), "seq": s.seq, "born": s.born, "machine": s.Machine,
	})
	s.Store.Put("keyed.servers", s.ID, value)
}

// Crash ends the life of the server: all that runs there is gone, and it says nothing.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	s.cancel()
	_ = s.server.Close()
	now := time.Now()
	s.Ledger.mu.Lock()
	for _, r := range s.running {
		r.How, r.End = "crash", now
	}
	s.Ledger.mu.Unlock()
	s.Ledger.Record.Add("%s crashes with %d runs", s.ID, len(s.running))
	s.running = map[string]*Run{}
}

// Change makes the next life one of another kind. It is called while the server is down.
func (s *Server) Change(capacity Resources, labels []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Capacity, s.Labels = capacity, labels
}

// RunningCount returns the number of running tasks.
func (s *Server) RunningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// RunningTasks returns the names of the running tasks, sorted.
func (s *Server) RunningTasks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, r := range s.running {
		names = append(names, r.Task)
	}
	sort.Strings(names)
	return names
}

func (s *Server) clock() int64 { return time.Since(s.begin).Milliseconds() }

func runKey(task string, run int) string { return task + "#" + strconv.Itoa(run) }

// finish ends a run. The caller holds the lock.
func (s *Server) finish(key, how string) {
	r := s.running[key]
	if r == nil {
		return
	}
	delete(s.running, key)
	s.highest[r.Task] = max(s.highest[r.Task], r.Number)
	s.ends++
	s.Ledger.mu.Lock()
	r.How, r.End, r.end = how, time.Now(), s.ends
	s.Ledger.mu.Unlock()
	s.Ledger.Record.Add("%s ends %s run %d: %s", s.ID, r.Task, r.Number, how)
	s.ended = append(s.ended, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type orderBody struct {
	Task     string
	Run      int
	Spec     string
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
	Ticket   string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if body.Fence < s.fence {
		s.refuse(w, "fence")
		return
	}
	s.fence = body.Fence
	if body.Deadline > 0 {
		s.until = max(s.until, min(body.Deadline, s.clock()+maxHold))
	}
	switch r.URL.Path {
	case "/run-start":
		s.start(w, body)
	case "/run-stop":
		s.stop(body)
		reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born})
	case "/hold":
		s.hold(w, r, body)
	case "/pace":
		reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": s.clock(), "born": s.born, "reason": reason})
}

func (s *Server) start(w http.ResponseWriter, body orderBody) {
	key := runKey(body.Task, body.Run)
	switch {
	case body.Run <= s.highest[body.Task]:
		s.refuse(w, "old")
		return
	case s.running[key] != nil:
		reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born})
		return
	case body.Deadline <= s.clock():
		s.refuse(w, "late")
		return
	}
	r := &Run{Task: body.Task, Number: body.Run, Server: s.ID, Born: s.born, Start: time.Now()}
	s.running[key] = r
	s.Ledger.mu.Lock()
	s.Ledger.runs = append(s.Ledger.runs, r)
	s.Ledger.mu.Unlock()
	s.Ledger.Record.Add("%s starts %s run %d", s.ID, body.Task, body.Run)
	if s.OnStart != nil {
		s.OnStart(r)
	}
	took, how := s.Work(body.Task, body.Run)
	born := s.born
	if took > 0 {
		time.AfterFunc(took, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.up && s.born == born {
				s.finish(key, how)
			}
		})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born})
}

func (s *Server) stop(body orderBody) {
	key := runKey(body.Task, body.Run)
	if s.running[key] == nil {
		s.highest[body.Task] = max(s.highest[body.Task], body.Run)
		return
	}
	born := s.born
	time.AfterFunc(stopTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.up && s.born == born {
			s.finish(key, "stopped")
		}
	})
}

// hold acknowledges ends, waits for one, and lists what runs and what has ended.
func (s *Server) hold(w http.ResponseWriter, r *http.Request, body orderBody) {
	s.Ledger.mu.Lock()
	kept := s.ended[:0:0]
	for _, e := range s.ended {
		if e.end > body.Ack {
			kept = append(kept, e)
		} else if e.Acked.IsZero() {
			e.Acked = time.Now()
		}
	}
	s.Ledger.mu.Unlock()
	s.ended = kept
	timeout := time.After(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
	born := s.born
	for waiting := body.Wait > 0; waiting && len(s.ended) == 0; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
		if !s.up || s.born != born {
			return
		}
	}
	running := [][]any{}
	for _, t := range s.running {
		percent := 50
		running = append(running, []any{t.Task, t.Number, "", percent, 100})
	}
	ended := [][]any{}
	for _, e := range s.ended {
		if len(ended) == endsPerAnswer {
			break
		}
		ended = append(ended, []any{e.end, e.Task, e.Number, e.How, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born, "running": running, "ended_runs": ended})
}

// Machines is the platform's machine service, with one machine for each server.
type Machines struct {
	Servers []*Server
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/machines") {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	rows := []any{}
	for _, s := range m.Servers {
		s.mu.Lock()
		state := "up"
		if !s.up {
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": s.Machine, "pool": s.Service, "state": state, "zone": s.Zone, "labels": s.Labels, "capacity": s.Capacity, "id": s.ID,
		})
		s.mu.Unlock()
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// Overlap describes two runs.
func Overlap(a, b Run) string {
	return fmt.Sprintf("%s run %d on %s and run %d on %s", a.Task, a.Number, a.Server, b.Number, b.Server)
}

// Running returns the number of running tasks, for OnStart.
func (s *Server) Running() int { return len(s.running) }
