package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

type claim struct {
	owner, holder string
	changed       int64
}

type member struct {
	seen time.Time
	ttl  time.Duration
}

type group struct {
	generation int64
	members    map[string]*member
	claims     []claim
	topic      string
}

// expire removes the members that haven't joined within their time.
func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.Sub(m.seen) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	for i := range g.claims {
		if g.claims[i].holder == name {
			g.claims[i].holder = ""
		}
	}
	g.assign()
}

// assign distributes the partitions evenly and moves as few as possible.
func (g *group) assign() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		for i := range g.claims {
			g.claims[i].owner = ""
		}
		return
	}
	most := (len(g.claims) + len(names) - 1) / len(names)
	count := map[string]int{}
	// A member that joins gets the lowest partitions of the others.
	for i := len(g.claims) - 1; i >= 0; i-- {
		c := &g.claims[i]
		if g.members[c.owner] == nil || count[c.owner] >= most {
			c.owner = ""
			continue
		}
		count[c.owner]++
	}
	for i := range g.claims {
		c := &g.claims[i]
		if c.owner != "" {
			continue
		}
		least := names[0]
		for _, name := range names {
			if count[name] < count[least] {
				least = name
			}
		}
		c.owner, c.changed = least, g.generation
		count[least]++
	}
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Topics) != 1 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[body.Group]
	if g == nil {
		g = &group{members: map[string]*member{}, claims: make([]claim, Partitions), topic: body.Topics[0]}
		s.groups[body.Group] = g
	}
	now := time.Now()
	m := g.members[body.Member]
	if m != nil {
		m.seen = now
	}
	g.expire(now)
	if m == nil {
		g.members[body.Member] = &member{seen: now, ttl: time.Duration(body.TTL) * time.Millisecond}
		g.assign()
	}
	parts := [][]any{}
	for i := range g.claims {
		c := &g.claims[i]
		if c.holder == body.Member && c.owner != body.Member && body.Generation >= c.changed {
			c.holder = ""
		}
		if c.owner == body.Member && c.holder == "" {
			c.holder = body.Member
		}
		if c.owner == body.Member && c.holder == body.Member {
			parts = append(parts, []any{g.topic, i, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": body.TTL, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct{ Group, Member string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[body.Group]; g != nil {
		g.remove(body.Member)
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		g.expire(time.Now())
		for i, c := range g.claims {
			if c.holder != "" {
				rows = append(rows, []any{g.topic, i, c.holder, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}
