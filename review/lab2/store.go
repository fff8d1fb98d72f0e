// Package lab2 holds the stand-ins of the second review's scripts: the platform's store and
// machine service, workers and clients, and the processes of the system under test. They
// behave as the users' pages say, and record what they see.
package lab2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// parts is the number of partitions of the topics of groups, as in the settings.
const parts = 24

const (
	pageItems    = 500
	keptAnswers  = 5
	longestWait  = 30 * time.Second
	storeLatency = 4 * time.Millisecond
)

// Store is a stand-in of the platform's store. Down makes it answer 503 to the system.
type Store struct {
	Addr string

	mu      sync.Mutex
	down    bool
	topics  map[string]map[int]*partition
	groups  map[string]*group
	changed chan struct{}
	server  *http.Server
}

type partition struct {
	records   [][]byte
	newest    map[string]item
	producers map[string]*producer
}

type item struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, last int64
	// begun is false while the epoch has had no append.
	begun   bool
	answers map[int64]string
}

type group struct {
	generation int64
	members    map[string]*member
	// target is the member that a partition is assigned to, holder the one that has it.
	target, holder map[int]string
	topic          string
}

type member struct {
	joined time.Time
	ttl    time.Duration
}

// StartStore starts a store on a free loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), topics: map[string]map[int]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	mux.HandleFunc("POST /log-join", s.handleJoin)
	mux.HandleFunc("POST /log-leave", s.handleLeave)
	mux.HandleFunc("GET /log-owners", s.handleOwners)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLoop()
	return s, nil
}

// SetDown makes the store turn all calls away, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *Store) partition(topic string, part int) *partition {
	if s.topics[topic] == nil {
		s.topics[topic] = map[int]*partition{}
	}
	p := s.topics[topic][part]
	if p == nil {
		p = &partition{newest: map[string]item{}, producers: map[string]*producer{}}
		s.topics[topic][part] = p
	}
	return p
}

// Put writes a record of a keyed topic as the operator or a worker does; a nil value deletes.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.partition(topic, 0).add(append(content, value...))
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (p *partition) add(content []byte) {
	offset := int64(len(p.records))
	p.records = append(p.records, content)
	n := 1 + int(content[0])
	key := string(content[1:n])
	if len(content) == n {
		delete(p.newest, key)
		return
	}
	p.newest[key] = item{value: content[n:], offset: offset}
}

func place(r *http.Request) (string, int) {
	part, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), part
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic, part := place(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || len(rest) < 4+int(binary.BigEndian.Uint32(rest)) {
			answer(w, http.StatusBadRequest, map[string]any{"error": "record"})
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	q := r.URL.Query()
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]any{"error": "topic"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" {
		if n, _ := strconv.ParseInt(at, 10, 64); n != end {
			answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
	}
	var from *producer
	seq := int64(0)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		if p.producers[name] == nil {
			p.producers[name] = &producer{epoch: -1}
		}
		from = p.producers[name]
		switch {
		case epoch < from.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": from.epoch})
			return
		case epoch > from.epoch:
			*from = producer{epoch: epoch, answers: map[int64]string{}}
		}
		if first, repeated := from.answers[seq]; repeated && len(records) > 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, first)
			return
		}
		if len(records) > 0 && from.begun && seq != from.last+1 {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": from.last + 1})
			return
		}
	}
	for _, content := range records {
		p.add(append([]byte{}, content...))
	}
	text := fmt.Sprintf(`{"offset":%d,"end":%d}`, end, len(p.records))
	if from != nil && len(records) > 0 {
		from.begun, from.last = true, seq
		from.answers[seq] = text
		delete(from.answers, seq-keptAnswers)
	}
	s.wake()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, text)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	topic, part := place(r)
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, longestWait))
	for {
		s.mu.Lock()
		p := s.partition(topic, part)
		records, changed := p.records, s.changed
		s.mu.Unlock()
		if from < int64(len(records)) || waitMS == 0 {
			writeRecords(w, records, from, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int64, limit int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for n := from; n < int64(len(records)); n++ {
		if len(out)+len(records[n]) > limit && n > from {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[n])))
		out = append(out, records[n]...)
	}
	_, _ = w.Write(out)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	topic, part := place(r)
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	p := s.partition(topic, part)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		i := p.newest[key]
		size += len(key) + len(i.value)
		if len(items) == pageItems || size > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(i.value), "offset": i.offset})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// Newest returns the newest value of a key in partition 0 of a keyed topic.
func (s *Store) Newest(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.partition(topic, 0).newest[key].value)
}
