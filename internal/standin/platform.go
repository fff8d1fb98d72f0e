package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxControlBytes is the largest control request.
const maxControlBytes = 1 << 20

// RoleWorker is the role of backend servers in the directory.
const RoleWorker = "worker"

// Options configures a platform.
type Options struct {
	Instances   int
	DataCentres []string
	// RackSize is the number of instances in a rack.
	RackSize int
	// Slots and Connections limit the running tasks and the open connections of each
	// backend server; zero Connections means no limit.
	Slots       int
	Connections int
	// RunTime is how long each task runs, RebootTime how long a reboot takes.
	RunTime    time.Duration
	RebootTime time.Duration
	// Retention is the number of newest records kept in each stream; zero keeps all.
	Retention int
	// Listen opens the listener of one backend server.
	Listen func() (net.Listener, error)
}

// Platform is a simulated platform. Its handler serves the log, the directory and
// the control paths; each backend server has a listener of its own.
type Platform struct {
	Log       *Log
	Directory *Directory
	Recorder  *Recorder
	options   Options
	backends  map[string]*Backend
	servers   []*http.Server
	mux       *http.ServeMux
}

// New starts the backend servers and returns the platform.
func New(o Options) (*Platform, error) {
	if o.Instances > 0 && (len(o.DataCentres) == 0 || o.RackSize < 1 || o.Listen == nil) {
		return nil, errors.New("instances need data centres, racks and listeners")
	}
	p := &Platform{
		Log:      NewLog(o.Retention),
		Recorder: NewRecorder(),
		options:  o,
		backends: map[string]*Backend{},
		mux:      http.NewServeMux(),
	}
	p.Directory = NewDirectory(o.RebootTime, p.reboot)
	for i := range o.Instances {
		if err := p.startBackend(i); err != nil {
			p.Close()
			return nil, err
		}
	}
	p.mux.Handle("/v1/streams/", p.Log)
	p.mux.Handle("/v1/instances", p.Directory)
	p.mux.Handle("/v1/instances/", p.Directory)
	p.mux.HandleFunc("POST /faults", p.postFault)
	p.mux.HandleFunc("GET /started", p.getStarted)
	p.mux.HandleFunc("PUT /instances/{instance}", p.putInstance)
	p.mux.HandleFunc("DELETE /instances/{instance}", p.deleteInstance)
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Backend returns an instance's backend server, nil for an unknown instance.
func (p *Platform) Backend(instance string) *Backend { return p.backends[instance] }

// Close stops the backend servers.
func (p *Platform) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// listingOf returns the listing of the i-th instance. Instances are spread over the
// data centres round-robin and fill the racks of each in order.
func listingOf(o Options, i int) Listing {
	n := len(o.DataCentres)
	dc := o.DataCentres[i%n]
	return Listing{
		Instance:   fmt.Sprintf("worker-%03d", i+1),
		Role:       RoleWorker,
		DataCentre: dc,
		Rack:       fmt.Sprintf("%s-r%02d", dc, i/n/o.RackSize+1),
		Slots:      o.Slots,
	}
}

func (p *Platform) startBackend(i int) error {
	ln, err := p.options.Listen()
	if err != nil {
		return errors.Wrap(err, "open a backend server's listener")
	}
	l := listingOf(p.options, i)
	l.Addr = ln.Addr().String()
	b := NewBackend(l, p.options.RunTime, p.Recorder)
	p.backends[l.Instance] = b
	p.Directory.Put(l)
	s := &http.Server{Handler: b, ConnState: limitConnections(p.options.Connections)}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(ln) }()
	return nil
}

// limitConnections returns a ConnState hook that closes connections over the limit;
// zero means no limit.
func limitConnections(limit int) func(net.Conn, http.ConnState) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	return func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open[c] = true
			if limit > 0 && len(open) > limit {
				_ = c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			delete(open, c)
		}
	}
}

// reboot stops a backend server's tasks and takes it down for RebootTime. It
// returns false for an unknown instance.
func (p *Platform) reboot(instance string) bool {
	b, ok := p.backends[instance]
	if !ok {
		return false
	}
	b.SetFault(Fault{Target: TargetBackend, Kind: KindDown})
	b.StopTasks()
	time.AfterFunc(p.options.RebootTime, func() {
		b.faults.clear(KindDown)
	})
	return true
}

// SetFault activates or clears a fault in a part of the platform. It returns an
// error for an unknown target, kind or instance.
func (p *Platform) SetFault(f Fault) error {
	if err := checkFault(f); err != nil {
		return err
	}
	switch f.Target {
	case TargetLog:
		p.Log.SetFault(f)
	case TargetDirectory:
		p.Directory.SetFault(f)
	case TargetBackend:
		return p.setBackendFault(f)
	}
	return nil
}

func (p *Platform) setBackendFault(f Fault) error {
	if f.Instance == "" {
		for _, b := range p.backends {
			b.SetFault(f)
		}
		return nil
	}
	b, ok := p.backends[f.Instance]
	if !ok {
		return errors.Errorf("no instance %q", f.Instance)
	}
	b.SetFault(f)
	return nil
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decodeControl(w, r, &f) {
		return
	}
	if err := p.SetFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getStarted(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Recorder.Report())
}

// putInstance adds an instance to the list. For one of the platform's backend servers,
// only the leaving flag is taken from the request.
func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var l Listing
	if !decodeControl(w, r, &l) {
		return
	}
	l.Instance = r.PathValue("instance")
	if b, ok := p.backends[l.Instance]; ok {
		b.SetLeaving(l.Leaving)
		leaving := l.Leaving
		l = b.listing
		l.Leaving = leaving
	}
	p.Directory.Put(l)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.Directory.Remove(r.PathValue("instance"))
	w.WriteHeader(http.StatusNoContent)
}

// decodeControl decodes a control request. It answers a malformed one and returns
// false.
func decodeControl(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
