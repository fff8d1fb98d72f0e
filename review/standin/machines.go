package standin

import (
	"net/http"
	"strings"
)

// Machines is the platform's machine service, with one machine for each server.
type Machines struct {
	Servers []*Server
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/machines") {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	rows := []any{}
	for _, s := range m.Servers {
		s.mu.Lock()
		state := "up"
		if !s.up {
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": s.Machine, "pool": s.Service, "state": state, "zone": s.Zone, "labels": s.Labels, "capacity": s.Capacity, "id": s.ID,
		})
		s.mu.Unlock()
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}
