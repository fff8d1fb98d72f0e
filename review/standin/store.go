package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings that the platform's pages show.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageRecords = 500
	pageBytes   = 1 << 20
	// Partitions is the number of partitions of a topic.
	Partitions = 24
)

type entry struct {
	key   string
	value []byte
}

type producerState struct {
	epoch int64
	next  int64
	// any is set while the epoch may begin at any sequence number.
	any  bool
	last []appended
}

type appended struct{ seq, offset, end int64 }

type partition struct {
	records   []entry
	newest    map[string]int64
	producers map[string]*producerState
}

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	changed chan struct{}
	parts   map[string]*partition
	groups  map[string]*group
	// Refused counts the appends that were over the limits of size.
	Refused int
	record  *Record
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{changed: make(chan struct{}), parts: map[string]*partition{}, groups: map[string]*group{}, record: r}
}

func (s *Store) partition(topic string, part int) *partition {
	key := topic + "/" + strconv.Itoa(part)
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producerState{}}
		s.parts[key] = p
	}
	return p
}

// Put writes a record of a keyed topic, as the operator and the backend servers do.
// A nil value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), []entry{{key: key, value: value}})
}

func (s *Store) add(p *partition, records []entry) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = int64(len(p.records))
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.listNewest(w, r)
	case "/log-join":
		s.join(w, r)
	case "/log-leave":
		s.leave(w, r)
	case "/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// split decodes the records of an append. It returns false if a record or the call
// is over the limits.
func split(body []byte) ([]entry, bool) {
	if len(body) > callBytes {
		return nil, false
	}
	var out []entry
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || len(body) < 4+size || size < 1 || 1+int(body[4]) > size {
			return nil, false
		}
		content := body[4 : 4+size]
		end := 1 + int(content[0])
		out = append(out, entry{key: string(content[1:end]), value: bytes.Clone(content[end:])})
		body = body[4+size:]
	}
	return out, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, fits := split(body)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !fits {
		s.Refused++
		if s.Refused <= 5 {
			s.record.Add("store: an append of %d bytes to %s/%s is over the limits of size: 413", len(body), q.Get("topic"), q.Get("part"))
		}
		reply(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "size"})
		return
	}
	p := s.partition(q.Get("topic"), int(number(r, "part")))
	end := int64(len(p.records))
	if q.Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if producer := q.Get("producer"); producer != "" {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		st := p.producers[producer]
		if st == nil {
			st = &producerState{epoch: -1}
			p.producers[producer] = st
		}
		if epoch < st.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > st.epoch {
			*st = producerState{epoch: epoch, any: true}
		}
		if len(records) > 0 {
			for _, a := range st.last {
				if a.seq == seq {
					reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
					return
				}
			}
			if !st.any && seq != st.next {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": st.next})
				return
			}
			st.any, st.next = false, seq+1
			st.last = append(st.last, appended{seq, end, end + int64(len(records))})
			if len(st.last) > 5 {
				st.last = st.last[1:]
			}
		}
	}
	s.add(p, records)
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(p.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(r, "from")
	timeout := time.After(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), int(number(r, "part")))
		if from < int64(len(p.records)) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(p.records)) && len(out) < pageBytes; i++ {
				e := p.records[i]
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
				out = append(out, byte(len(e.key)))
				out = append(out, e.key...)
				out = append(out, e.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), int(number(r, "part")))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items, size := []item{}, 0
	for _, k := range keys {
		if len(items) == pageRecords || size > pageBytes {
			break
		}
		offset := p.newest[k]
		items = append(items, item{k, p.records[offset].value, offset})
		size += len(p.records[offset].value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end": len(p.records)})
}
