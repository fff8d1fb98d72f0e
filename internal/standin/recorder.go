package standin

import (
	"maps"
	"slices"
	"sync"
)

// excerptSize is the most bytes of a task's body that a Start holds.
const excerptSize = 256

// Start is one start of a task at a backend server.
type Start struct {
	TaskID     string `json:"taskId"`
	Queue      string `json:"queue"`
	Team       string `json:"team"`
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Body holds the first excerptSize bytes of the task's body.
	Body string `json:"body"`
	// AtMS is the time of the start in Unix milliseconds.
	AtMS int64 `json:"atMs"`
}

// Report lists what the backend servers have started.
type Report struct {
	Starts []Start `json:"starts"`
	// Peaks is the highest number of tasks that ran at once, by team.
	Peaks map[string]int `json:"peaks"`
}

// Recorder records every start at all backend servers. It is safe for concurrent
// use.
type Recorder struct {
	mu      sync.Mutex
	starts  []Start
	running map[string]int
	peaks   map[string]int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{running: map[string]int{}, peaks: map[string]int{}}
}

// Report returns a copy of what was recorded.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{Starts: slices.Clone(r.starts), Peaks: maps.Clone(r.peaks)}
}

func (r *Recorder) started(s Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	r.running[s.Team]++
	r.peaks[s.Team] = max(r.peaks[s.Team], r.running[s.Team])
}

func (r *Recorder) ended(team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[team]--
}

func excerpt(body []byte) string { return string(body[:min(len(body), excerptSize)]) }
