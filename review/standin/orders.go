package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

type orderBody struct {
	Task     string
	Run      int
	Spec     string
	Point    string `json:"checkpoint"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
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
	took, how := s.Work(body.Task, body.Run)
	r := &Run{Task: body.Task, Number: body.Run, Server: s.ID, Born: s.born, Start: time.Now(), took: took, Spec: body.Spec, Checkpoint: body.Point}
	s.running[key] = r
	s.Ledger.mu.Lock()
	s.Ledger.runs = append(s.Ledger.runs, r)
	s.Ledger.mu.Unlock()
	s.Ledger.Record.Add("%s starts %s run %d", s.ID, body.Task, body.Run)
	if s.OnStart != nil {
		s.OnStart(r)
	}
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
		running = append(running, []any{t.Task, t.Number, t.saved(), t.percent(), 100})
	}
	ended := [][]any{}
	for _, e := range s.ended {
		if len(ended) == endsPerAnswer {
			break
		}
		ended = append(ended, []any{e.end, e.Task, e.Number, e.How, e.saved()})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": s.clock(), "born": s.born, "running": running, "ended_runs": ended})
}
