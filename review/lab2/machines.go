package lab2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	moveTakes        = 1500 * time.Millisecond
	maintenanceTakes = 2 * time.Second
)

// Machines is a stand-in of the platform's machine service. It runs the machines' workers.
type Machines struct {
	Addr string
	// Spare is the pool whose machines are off; empty if there is none.
	Spare string
	// Make fills in a worker's functions before it starts; nil if it needn't.
	Make func(*Worker)

	store  *Store
	log    *Log
	server *http.Server

	mu       sync.Mutex
	machines map[string]*machine
	lives    int
}

type machine struct {
	name, pool, zone, state string
	labels                  []string
	cpu, memory             int
	worker                  *Worker
}

// StartMachines starts the service without machines.
func StartMachines(s *Store, l *Log) (*Machines, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Machines{Addr: listener.Addr().String(), store: s, log: l, machines: map[string]*machine{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.handleList)
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, r *http.Request) { c.handleOrder(w, r, moveTakes) })
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.handleOrder(w, r, maintenanceTakes) })
	c.server = &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// Add adds a machine and starts its worker.
func (c *Machines) Add(name, pool, zone string, labels []string, cpu, memory int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{name: name, pool: pool, zone: zone, labels: labels, cpu: cpu, memory: memory}
	c.machines[name] = m
	return c.start(m)
}

func (c *Machines) start(m *machine) error {
	m.state = "up"
	if m.pool == c.Spare {
		return nil
	}
	c.lives++
	m.worker = &Worker{ID: fmt.Sprintf("i-%06x", c.lives), Service: m.pool, Zone: m.zone, Labels: m.labels, CPU: m.cpu, Memory: m.memory}
	if c.Make != nil {
		c.Make(m.worker)
	}
	return m.worker.Start(c.store, c.log)
}

// Workers returns the workers of a pool.
func (c *Machines) Workers(pool string) []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, m := range c.machines {
		if m.pool == pool && m.worker != nil {
			out = append(out, m.worker)
		}
	}
	return out
}

func (c *Machines) handleList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	rows := []map[string]any{}
	for _, name := range names {
		m := c.machines[name]
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memory, "gpu": 0}, "id": "",
		}
		if m.worker != nil {
			row["id"] = m.worker.ID
		}
		rows = append(rows, row)
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (c *Machines) handleOrder(w http.ResponseWriter, r *http.Request, takes time.Duration) {
	var b struct {
		Machine, Pool string
		Wave          int64
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[b.Machine]
	switch {
	case m == nil:
		answer(w, http.StatusBadRequest, map[string]any{"error": "machine"})
		return
	case b.Pool != "" && m.pool == b.Pool:
		answer(w, http.StatusOK, map[string]any{})
		return
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	c.log.Event("machine order", "path", r.URL.Path, "machine", m.name, "pool", b.Pool, "holder", r.Header.Get("X-Duty-Holder"), "fence", r.Header.Get("X-Fencing-Token"))
	if b.Pool != "" {
		m.pool = b.Pool
		m.state = "moving"
	} else {
		m.state = "upkeep"
	}
	if old := m.worker; old != nil {
		m.worker = nil
		go old.Leave()
	}
	time.AfterFunc(takes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.start(m); err != nil {
			c.log.Event("worker not started", "error", err)
		}
	})
	answer(w, http.StatusOK, map[string]any{})
}
