package lab2

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

func (s *Store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]*member{}, target: map[int]string{}, holder: map[int]string{}}
	}
	return s.groups[name]
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.Topics) == 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(req.Group)
	g.topic = req.Topics[0]
	g.expire(time.Now())
	m := g.members[req.Member]
	if m == nil {
		m = &member{}
		g.members[req.Member] = m
		g.rebalance()
	}
	m.joined, m.ttl = time.Now(), time.Duration(req.TTL)*time.Millisecond
	mine := [][]any{}
	for part := range parts {
		if g.holder[part] == req.Member && g.target[part] != req.Member && req.Generation >= g.generation {
			g.holder[part] = ""
		}
		if g.holder[part] == "" && g.target[part] == req.Member {
			g.holder[part] = req.Member
		}
		if g.holder[part] == req.Member && g.target[part] == req.Member {
			mine = append(mine, []any{g.topic, part, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": req.TTL, "parts": mine})
}

// rebalance assigns the partitions evenly; a member keeps what it has, up to its share.
func (g *group) rebalance() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.target = map[int]string{}
		return
	}
	counts := map[string]int{}
	most := (parts + len(names) - 1) / len(names)
	var free []int
	for part := range parts {
		to := g.target[part]
		if g.members[to] == nil || counts[to] >= most {
			free = append(free, part)
			continue
		}
		counts[to]++
	}
	for _, part := range free {
		least := names[0]
		for _, name := range names {
			if counts[name] < counts[least] {
				least = name
			}
		}
		counts[least]++
		g.target[part] = least
	}
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.Sub(m.joined) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	delete(g.members, name)
	for part, holder := range g.holder {
		if holder == name {
			g.holder[part] = ""
		}
	}
	g.rebalance()
}

func (s *Store) expireLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for _, g := range s.groups {
			g.expire(time.Now())
		}
		s.mu.Unlock()
	}
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var req struct{ Group, Member string }
	_ = json.NewDecoder(r.Body).Decode(&req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.group(req.Group); g.members[req.Member] != nil {
		g.remove(req.Member)
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) handleOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for part := range parts {
		if g.holder[part] != "" {
			rows = append(rows, []any{g.topic, part, g.holder[part], 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// Holder returns the member of a group that has a partition.
func (s *Store) Holder(name string, part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group(name).holder[part]
}

// Exchange deals the partitions of a group anew, at once and without any request: two
// members get each other's, and all others keep theirs.
func (s *Store) Exchange(name, a, b string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.generation++
	for _, assigned := range []map[int]string{g.target, g.holder} {
		for part, to := range assigned {
			switch to {
			case a:
				assigned[part] = b
			case b:
				assigned[part] = a
			}
		}
	}
	return g.generation
}
