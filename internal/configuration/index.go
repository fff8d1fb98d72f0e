package configuration

import "github.com/pkg/errors"

// ErrUnknownQueue reports a queue that isn't in the configuration.
var ErrUnknownQueue = errors.New("unknown queue")

// ErrUnauthorized reports a request whose key is unknown or was withdrawn, or
// one without a key to a queue that isn't open.
var ErrUnauthorized = errors.New("no valid key")

// Index looks up queues and authorizes requests under one revision. It is
// built once per revision, immutable, and safe for concurrent use.
type Index struct {
	queues map[string]Queue
	teams  map[KeyHash]string
}

// NewIndex returns the index of a document. The document must not be modified
// afterwards.
func NewIndex(doc *Document) *Index {
	x := &Index{queues: doc.Queues, teams: make(map[KeyHash]string, len(doc.Keys))}
	for _, k := range doc.Keys {
		if h, ok := parseKeyHash(k.Hash); ok {
			x.teams[h] = k.Team
		}
	}
	return x
}

// Queue returns a queue by its name.
func (x *Index) Queue(name string) (Queue, bool) {
	q, ok := x.queues[name]
	return q, ok
}

// Authorize returns the team on whose behalf a request runs: the team of its
// key, or the queue's open team for a request without a key. Its errors wrap
// ErrUnknownQueue or ErrUnauthorized.
//
// Callers keep the hash with the request and call Authorize again right before
// each send, so that withdrawing a key also stops requests that are queued,
// forwarded or retried.
func (x *Index) Authorize(queue string, key KeyHash) (string, error) {
	q, ok := x.queues[queue]
	if !ok {
		return "", errors.Wrapf(ErrUnknownQueue, "%q", queue)
	}
	if key == (KeyHash{}) {
		if q.Open {
			return q.OpenTeam, nil
		}
		// A configured key whose hash is all zeros must not stand for a missing key.
		return "", ErrUnauthorized
	}
	team, ok := x.teams[key]
	if !ok {
		return "", ErrUnauthorized
	}
	return team, nil
}
