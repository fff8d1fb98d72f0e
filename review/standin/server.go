package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
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
	// Spec and Checkpoint are those of the order.
	Spec, Checkpoint string
	// How is empty while the task runs, "crash" if the server crashed.
	How string
	End time.Time
	// Acked is when the end was acknowledged; zero before.
	Acked time.Time

	end  int64
	took time.Duration
}

// checkpointTime is the work between two checkpoints.
const checkpointTime = 500 * time.Millisecond

// saved returns the run's checkpoint, which names its task; empty before the first one.
func (r *Run) saved() string {
	until := r.End
	if until.IsZero() {
		until = time.Now()
	}
	if n := until.Sub(r.Start) / checkpointTime; n > 0 && r.How != "done" {
		return fmt.Sprintf("%s/%d/%d", r.Task, r.Number, n)
	}
	return r.Checkpoint
}

// percent returns the run's progress.
func (r *Run) percent() int {
	if r.took <= 0 {
		return 100
	}
	return min(int(100*time.Since(r.Start)/r.took), 99)
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
	// OnEnd is called without the lock after a run has ended; nil for none.
	OnEnd func(r Run)
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
		if s.OnEnd != nil {
			go s.OnEnd(*r)
		}
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
	if s.OnEnd != nil {
		go s.OnEnd(*r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Running returns the number of running tasks, for OnStart.
func (s *Server) Running() int { return len(s.running) }

// Finish ends a run. It must not be called by OnStart or Work.
func (s *Server) Finish(task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.finish(runKey(task, run), how)
	}
}

// template returns a server with the same settings that hasn't started.
func (s *Server) template() *Server {
	return &Server{
		ID: s.ID, Machine: s.Machine, Service: s.Service, Zone: s.Zone, Labels: s.Labels, Capacity: s.Capacity, Store: s.Store, Ledger: s.Ledger,
		Work: s.Work, OnStart: s.OnStart, OnEnd: s.OnEnd, Listen: s.Listen, Address: s.Address,
	}
}
