package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// moveTime is move_s.
const moveTime = 1500 * time.Millisecond

// Machine is a machine of the platform. A machine of the spare pool is off.
type Machine struct {
	Name, Pool, State string
	Server            *Server

	lives int
}

// Order is an order to a machine that the platform has received.
type Order struct {
	Machine, Holder string
	Fence           int64
	At              time.Time
}

// Machines is the platform's machine service. It doesn't check fences.
type Machines struct {
	// Spare is the name of the spare pool; "" if machines don't move.
	Spare string

	onOrder  func(o Order)
	site     *Site
	mu       sync.Mutex
	machines []*Machine
	orders   []Order
}

// SetOnOrder sets a function that is called when an order has arrived.
func (m *Machines) SetOnOrder(f func(o Order)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onOrder = f
}

// Orders returns the orders in the order of their arrival.
func (m *Machines) Orders() []Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Order(nil), m.orders...)
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		m.list(w)
	case "/machine-move":
		m.move(w, r)
	default:
		reply(w, http.StatusConflict, map[string]any{"reason": "wave"})
	}
}

func (m *Machines) list(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []any{}
	for _, x := range m.machines {
		s := x.Server
		row := map[string]any{"machine": x.Name, "pool": x.Pool, "state": x.State, "zone": s.Zone, "labels": s.Labels, "capacity": s.Capacity}
		if x.State == "up" && x.Pool != m.Spare {
			row["id"] = s.ID
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (m *Machines) move(w http.ResponseWriter, r *http.Request) {
	var body struct{ Machine, Pool string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	o := Order{Machine: body.Machine, Holder: r.Header.Get("X-Duty-Holder"), Fence: fence, At: time.Now()}
	status, reason := m.take(o, body.Pool)
	m.site.Record.Add("platform: %s with fence number %d orders %s into %s: %d %s", o.Holder, o.Fence, o.Machine, body.Pool, status, reason)
	m.mu.Lock()
	onOrder := m.onOrder
	m.mu.Unlock()
	if onOrder != nil {
		onOrder(o)
	}
	reply(w, status, map[string]any{"reason": reason})
}

func (m *Machines) take(o Order, pool string) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders = append(m.orders, o)
	for _, x := range m.machines {
		if x.Name != o.Machine {
			continue
		}
		switch {
		case x.Pool == pool:
			return http.StatusOK, ""
		case x.State != "up":
			return http.StatusConflict, "busy"
		}
		if x.Pool != m.Spare {
			x.Server.Crash()
			m.site.Store.Put("keyed.servers", x.Server.ID, nil)
		}
		x.State, x.Pool = "moving", pool
		time.AfterFunc(moveTime, func() { m.arrive(x) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, "machine"
}

// arrive begins the life of a new server on a machine that has moved.
func (m *Machines) arrive(x *Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x.State = "up"
	if x.Pool == m.Spare {
		return
	}
	x.lives++
	next := *x.Server.template()
	next.ID, next.Service = fmt.Sprintf("%s-%d", x.Name, x.lives), x.Pool
	x.Server = &next
	if err := x.Server.Start(); err != nil {
		m.site.Record.Add("%s can't start: %v", next.ID, err)
	}
}
