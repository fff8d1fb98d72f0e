package catalog

import (
	"cmp"
	"slices"
)

// routes are the queues of one host. A match looks up the path's prefixes of the
// lengths in use, longest first, so its time depends on the path's length and not
// on the number of queues.
type routes struct {
	byPrefix map[string]*Queue
	// lengths holds the distinct lengths of the prefixes, longest first.
	lengths []int
}

// add adds a queue. Of two queues with the same prefix the first one counts.
func (r *routes) add(q *Queue) {
	if r.byPrefix[q.Prefix] != nil {
		return
	}
	r.byPrefix[q.Prefix] = q
	longestFirst := func(a, b int) int { return cmp.Compare(b, a) }
	if n, found := slices.BinarySearchFunc(r.lengths, len(q.Prefix), longestFirst); !found {
		r.lengths = slices.Insert(r.lengths, n, len(q.Prefix))
	}
}

// match returns the queues whose prefixes match a path, longest first, up to
// limit of them.
func (r *routes) match(path string, limit int) []*Queue {
	var found []*Queue
	r.each(path, func(q *Queue) bool {
		found = append(found, q)
		return len(found) < limit
	})
	return found
}

// longest returns the queue with the longest matching prefix, or nil.
func (r *routes) longest(path string) *Queue {
	var found *Queue
	r.each(path, func(q *Queue) bool {
		found = q
		return false
	})
	return found
}

// each visits the queues whose prefixes match a path, longest first, until visit
// returns false.
func (r *routes) each(path string, visit func(*Queue) bool) {
	for _, length := range r.lengths {
		if length > len(path) {
			continue
		}
		if q := r.byPrefix[path[:length]]; q != nil && !visit(q) {
			return
		}
	}
}

// maxShadowed limits the shadowed queues that Explain returns.
const maxShadowed = 20

// RouteExplanation tells which queue takes a path of a host, and which ones match
// it too.
type RouteExplanation struct {
	// Queue takes the path.
	Queue *Queue
	// Rest is the path after the queue's prefix: a job's ID.
	Rest string
	// Shadowed are queues with shorter prefixes that match too, longest first.
	Shadowed []*Queue
}

// Explain returns which queue takes a path of a host and why. It returns false if
// none does.
func (c *Catalog) Explain(host, path string) (RouteExplanation, bool) {
	r := c.byHost[host]
	if r == nil {
		return RouteExplanation{}, false
	}
	found := r.match(path, 1+maxShadowed)
	if len(found) == 0 {
		return RouteExplanation{}, false
	}
	return RouteExplanation{Queue: found[0], Rest: path[len(found[0].Prefix):], Shadowed: found[1:]}, true
}
