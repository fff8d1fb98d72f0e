package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Limits of the log's requests.
const (
	maxRecordBytes = 16 << 20
	maxEntries     = 1000
	maxLongPoll    = 30 * time.Second
)

// Log is the append-only log service. It implements http.Handler; its methods may be
// called concurrently.
type Log struct {
	// retention is the number of newest records kept in each stream; zero keeps all.
	retention int
	faults    faults
	mux       *http.ServeMux
	mu        sync.Mutex
	streams   map[string]*stream
}

type stream struct {
	// oldest is the offset of entries[0].
	oldest  int64
	entries [][]byte
	// grown is closed at the next append.
	grown chan struct{}
}

// head returns the offset of the next record.
func (s *stream) head() int64 { return s.oldest + int64(len(s.entries)) }

type entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type batch struct {
	Oldest  int64   `json:"oldest"`
	Head    int64   `json:"head"`
	Entries []entry `json:"entries,omitempty"`
}

type appended struct {
	Offset int64 `json:"offset"`
}

// NewLog returns an empty log that keeps the newest retention records of each
// stream, or all if retention is zero.
func NewLog(retention int) *Log {
	l := &Log{retention: retention, streams: map[string]*stream{}, mux: http.NewServeMux()}
	l.mux.HandleFunc("POST /v1/streams/{stream}", l.append)
	l.mux.HandleFunc("GET /v1/streams/{stream}", l.read)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFault activates a fault, or clears all faults if its kind is KindNone.
func (l *Log) SetFault(f Fault) { l.faults.set(f) }

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "the record is too large or incomplete", http.StatusBadRequest)
		return
	}
	l.faults.beforeEffect(r.Context())
	offset := l.appendRecord(r.PathValue("stream"), data)
	l.faults.afterEffect()
	writeJSON(w, http.StatusOK, appended{Offset: offset})
}

func (l *Log) appendRecord(name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.head()
	s.entries = append(s.entries, data)
	if extra := len(s.entries) - l.retention; l.retention > 0 && extra > 0 {
		s.entries = s.entries[extra:]
		s.oldest += int64(extra)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// stream returns a stream, and creates it if needed. The caller holds l.mu.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// read serves a batch of records. If there are none, it waits up to wait
// milliseconds for one, at most maxLongPoll.
func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 || limit > maxEntries {
		limit = maxEntries
	}
	ms, _ := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	timeout := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxLongPoll))
	defer timeout.Stop()
	l.faults.beforeEffect(r.Context())
	for {
		b, grown := l.entriesFrom(r.PathValue("stream"), from, limit)
		if from < b.Oldest {
			l.faults.afterEffect()
			writeJSON(w, http.StatusGone, b)
			return
		}
		if len(b.Entries) > 0 || ms <= 0 {
			l.faults.afterEffect()
			writeJSON(w, http.StatusOK, b)
			return
		}
		select {
		case <-grown:
			l.faults.beforeEffect(r.Context())
		case <-timeout.C:
			ms = 0
		case <-r.Context().Done():
			return
		}
	}
}

// entriesFrom returns up to limit records, none if the stream no longer holds from,
// and a channel that is closed at the next append.
func (l *Log) entriesFrom(name string, from int64, limit int) (batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := batch{Oldest: s.oldest, Head: s.head()}
	for at := max(from, s.oldest); from >= s.oldest && at < s.head() && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, entry{Offset: at, Data: s.entries[at-s.oldest]})
	}
	return b, s.grown
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
