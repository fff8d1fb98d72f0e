// Package entry serves callers over HTTP. It authenticates a request, reads its
// whole body, hands it to a Server, and writes the complete answer or a problem
// document with the verdict.
//
// It depends on HTTP and on the queues and keys of the configuration, not on
// limits, instances or peers.
package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/traffic"
	"github.com/beryltide/beryltide/internal/verdict"
)

// Headers of requests and answers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTimeout = "Request-Timeout"
	headerRequestID      = "Request-Id"
	headerInstance       = "Task-Instance"
)

// Bounds of header values.
const (
	maxIdempotencyKey = 255
	maxTimeout        = 24 * time.Hour
)

// Server runs admitted requests.
type Server interface {
	Do(ctx context.Context, r traffic.Request) (platform.Answer, error)
}

// Options are the dependencies and settings of a handler.
type Options struct {
	View   func() *control.View
	Server Server
	Claims Claims
	// Ready returns an error while this daemon must refuse work.
	Ready          func() error
	DefaultTimeout time.Duration
	// BodyRead is the time limit for reading a request's body.
	BodyRead time.Duration
	Logger   *zap.Logger
	// Observe, if set, is called with the result of each request, also of one
	// to an unknown queue. took is the time from its arrival to its result.
	Observe func(queue string, answer platform.Answer, err error, took time.Duration)
}

// Handler serves the port for callers.
type Handler struct {
	opts Options
	mux  *http.ServeMux
	// closing makes each connection close after its answer.
	closing atomic.Bool
}

// New returns the handler of the port for callers.
func New(opts Options) *Handler {
	h := &Handler{opts: opts, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/queues/{queue}/tasks", h.submit)
	return h
}

// CloseConnections makes the handler close each connection after its answer,
// for a planned stop.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	start := time.Now()
	w.Header().Set(headerRequestID, id)
	answer, err := h.serve(w, r, id)
	if h.opts.Observe != nil {
		h.opts.Observe(r.PathValue("queue"), answer, err, time.Since(start))
	}
	if err != nil {
		h.opts.Logger.Info("request.failed",
			zap.String("request", id),
			zap.String("queue", r.PathValue("queue")),
			zap.Stringer("verdict", verdict.Of(err)),
			zap.String("code", string(verdict.CodeOf(err))),
			zap.Error(err))
		writeProblem(w, id, err)
		return
	}
	writeAnswer(w, answer)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, id string) (platform.Answer, error) {
	start := time.Now()
	if err := h.opts.Ready(); err != nil {
		return platform.Answer{}, verdict.Wrap(err, verdictBeforeClaim(r), verdict.CodeNotReady, "this daemon accepts no work now")
	}
	req, queue, err := h.admit(r, id, start)
	if err != nil {
		return platform.Answer{}, err
	}
	if req.Body, err = h.readBody(w, r, queue.MaxBody); err != nil {
		return platform.Answer{}, err
	}
	if req.IdempotencyKey == "" || queue.Idempotent {
		return h.opts.Server.Do(r.Context(), req)
	}
	return h.runOnce(r.Context(), req)
}

// admit checks everything but the body.
func (h *Handler) admit(r *http.Request, id string, start time.Time) (traffic.Request, configuration.Queue, error) {
	view := h.opts.View()
	name := r.PathValue("queue")
	queue, ok := view.Index.Queue(name)
	if !ok {
		return traffic.Request{}, queue, verdict.New(verdict.NotRun, verdict.CodeUnknownQueue, "no queue %q", name)
	}
	req := traffic.Request{ID: id, Queue: name, ContentType: r.Header.Get("Content-Type")}
	if err := authenticate(view, r, &req); err != nil {
		return req, queue, err
	}
	timeout, err := parseTimeout(r.Header.Get(headerRequestTimeout), h.opts.DefaultTimeout)
	if err != nil {
		return req, queue, err
	}
	req.Deadline = start.Add(timeout)
	req.IdempotencyKey = r.Header.Get(headerIdempotencyKey)
	if len(req.IdempotencyKey) > maxIdempotencyKey {
		return req, queue, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKey)
	}
	return req, queue, nil
}

func authenticate(view *control.View, r *http.Request, req *traffic.Request) error {
	header := r.Header.Get("Authorization")
	secret, ok := strings.CutPrefix(header, "Bearer ")
	if header != "" && (!ok || secret == "") {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the Authorization header contains no bearer key")
	}
	req.Key = configuration.NewKeyHash(secret)
	team, err := view.Index.Authorize(req.Queue, req.Key)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnauthorized, "the key is missing or not valid")
	}
	req.Team = team
	return nil
}

func parseTimeout(header string, fallback time.Duration) (time.Duration, error) {
	if header == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s: %q is not a number of milliseconds from 1 to %d", headerRequestTimeout, header, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	ctl := http.NewResponseController(w)
	// Without support for deadlines the server's own read timeout applies.
	_ = ctl.SetReadDeadline(time.Now().Add(h.opts.BodyRead))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		// Don't wait for the rest of the body before the answer.
		w.Header().Set("Connection", "close")
	} else {
		_ = ctl.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.New(verdict.NotRun, verdict.CodeBodyTimeout, "the body did not arrive within %s", h.opts.BodyRead)
	default:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeBadRequest, "read the body")
	}
}

func writeAnswer(w http.ResponseWriter, a platform.Answer) {
	header := w.Header()
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	header.Set(headerInstance, a.Instance)
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(a.Body)
}
