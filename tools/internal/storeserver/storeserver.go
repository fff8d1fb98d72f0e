// Package storeserver serves the platform's store protocol from the in-memory fake of the
// store, for tools that start real daemons.
package storeserver

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

// Server serves the platform's store protocol to one daemon, from a client of
// the fake store.
type Server struct {
	Client *memstore.Client
	// Silent leaves all calls without an answer.
	Silent bool
}

// Handler returns the handler of all calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-commit", s.commit)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	if s.Silent {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	return mux
}

// queryInt returns a query parameter as a number, -1 if it is missing or
// malformed.
func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func partition(r *http.Request) (string, int) {
	return r.URL.Query().Get("topic"), int(queryInt(r, "part"))
}

// writeResult writes a call's result. It aborts the connection if the outcome is
// unknown, as after a lost answer.
func writeResult(w http.ResponseWriter, body any, err error) {
	var sequence *store.SequenceError
	switch {
	case errors.Is(err, store.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotDone):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case errors.Is(err, store.ErrMoved):
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case errors.Is(err, store.ErrExpired):
		w.WriteHeader(http.StatusGone)
		return
	case errors.Is(err, store.ErrNotHeld):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, store.ErrFenced):
		w.WriteHeader(http.StatusConflict)
		body = map[string]any{"reason": "fenced"}
	case errors.As(err, &sequence):
		w.WriteHeader(http.StatusConflict)
		body = map[string]any{"reason": "seq", "seq": sequence.Expected}
	}
	WriteJSON(w, body)
}

// WriteJSON writes an answer's body.
func WriteJSON(w http.ResponseWriter, body any) {
	// The write fails only if the daemon has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	topic, part := partition(r)
	records, err := decodeRecords(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case r.URL.Query().Has("at"):
		err = s.Client.AppendAt(r.Context(), topic, part, records, queryInt(r, "at"))
	case r.URL.Query().Has("producer"):
		err = s.Client.Append(r.Context(), topic, part, records, &store.Sequence{
			Producer: r.URL.Query().Get("producer"), Epoch: queryInt(r, "epoch"), Number: queryInt(r, "seq"),
		})
	default:
		err = s.Client.Append(r.Context(), topic, part, records, nil)
	}
	writeResult(w, map[string]any{}, err)
}

// decodeRecords reads the length-prefixed records of a request body.
func decodeRecords(r *http.Request) ([]store.Record, error) {
	var records []store.Record
	for {
		var size uint32
		if err := binary.Read(r.Body, binary.BigEndian, &size); err != nil {
			return records, nil //nolint // the end of the body
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(r.Body, data); err != nil {
			return nil, err
		}
		end := 1 + int(data[0])
		records = append(records, store.Record{Key: string(data[1:end]), Value: data[end:]})
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	topic, part := partition(r)
	wait := time.Duration(max(queryInt(r, "wait_ms"), 0)) * time.Millisecond
	batch, err := s.Client.Read(r.Context(), topic, part, queryInt(r, "from"), wait)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range batch.Records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
		out = append(out, byte(len(record.Key)))
		out = append(out, record.Key...)
		out = append(out, record.Value...)
	}
	_, _ = w.Write(out) // fails only if the daemon has closed the connection
}

func (s *Server) newest(w http.ResponseWriter, r *http.Request) {
	topic, part := partition(r)
	page, err := s.Client.Newest(r.Context(), topic, part, "")
	items := []map[string]any{}
	for _, record := range page.Records {
		items = append(items, map[string]any{"key": record.Key, "value": record.Value, "offset": record.Offset})
	}
	writeResult(w, map[string]any{"items": items, "has_more": false, "end": page.End}, err)
}

func (s *Server) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m, err := s.Client.Join(r.Context(), store.Join{Group: body.Group, Member: body.Member, Topics: body.Topics, TTL: time.Duration(body.TTL) * time.Millisecond})
	parts := [][]any{}
	for _, c := range m.Claims {
		parts = append(parts, []any{c.Topic, c.Partition, 0})
	}
	writeResult(w, map[string]any{"generation": m.Generation, "parts": parts}, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group, Member, Topic string
		Generation           int64
		Part                 int
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	err := s.Client.Held(r.Context(), store.Holding{Group: body.Group, Member: body.Member, Topic: body.Topic, Partition: body.Part, Generation: body.Generation})
	writeResult(w, map[string]any{}, err)
}

func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	var body struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeResult(w, map[string]any{}, s.Client.Leave(context.WithoutCancel(r.Context()), body.Group, body.Member))
}

func (s *Server) owners(w http.ResponseWriter, r *http.Request) {
	owners, err := s.Client.Owners(r.Context(), r.URL.Query().Get("group"))
	rows := [][]any{}
	for _, o := range owners {
		rows = append(rows, []any{o.Topic, o.Partition, o.Member, 0})
	}
	writeResult(w, map[string]any{"owners": rows}, err)
}
