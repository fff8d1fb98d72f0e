package matrix

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/daemon"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/settings"
)

const (
	limitTeam           = "red"
	limitQueue          = "q"
	limitRunTime        = 400 * time.Millisecond
	limitLease          = 2 * time.Second
	limitWorkers        = 8
	limitSlotsPerWorker = 8
)

// limitsHarness is a fleet of real daemons over in-memory ports.
type limitsHarness struct {
	t        *testing.T
	log      *memoryLog
	network  *limitsNetwork
	backends *limitsBackends
	nodes    []*limitNode
	document *configuration.Document
	revision uint64

	mu       sync.Mutex
	unlisted map[string]bool
	ctx      context.Context
	stop     context.CancelFunc
}

// limitNode is one daemon with its gate and its callers' client.
type limitNode struct {
	name   string
	gate   *gate
	client *http.Client
}

// newLimitsHarness appends the first configuration and starts the daemons.
func newLimitsHarness(t *testing.T, nodes, limit int) *limitsHarness {
	ctx, stop := context.WithCancel(context.Background())
	h := &limitsHarness{
		t:        t,
		log:      newMemoryLog(),
		network:  newLimitsNetwork(),
		backends: newLimitsBackends(limitSlotsPerWorker, limit, limitRunTime),
		document: &configuration.Document{},
		unlisted: map[string]bool{},
		ctx:      ctx,
		stop:     stop,
	}
	h.configure(limit)
	for i := range nodes {
		h.startNode(fmt.Sprintf("e%d", i))
	}
	return h
}

// close stops callers and daemons, and waits for them.
func (h *limitsHarness) close() {
	h.stop()
	time.Sleep(time.Minute)
	h.network.close()
	time.Sleep(time.Minute)
}

// configure appends a configuration with the given limit.
func (h *limitsHarness) configure(limit int) {
	next := &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc": {Region: "r", InService: true}},
		Pools:       map[string]configuration.Pool{"p": {Size: limitWorkers}, "spare": {Spare: true}},
		Queues: map[string]configuration.Queue{limitQueue: {
			Pool:     "p",
			Open:     true,
			OpenTeam: limitTeam,
			RunTime:  configuration.Duration(limitLease),
			MaxBody:  1 << 10,
			Depth:    1000,
		}},
		Teams: map[string]configuration.Team{limitTeam: {Share: 1, Limit: limit}},
	}
	delta := configuration.Diff(h.document, next)
	data, err := delta.Encode()
	h.must(err)
	rec, err := record.Encode(record.Envelope{ID: fmt.Sprint("c", h.revision), Body: record.Configure{
		Base:   h.revision,
		Delta:  data,
		Digest: h.document.Apply(delta).Digest(),
	}})
	h.must(err)
	h.must(h.log.Append(h.ctx, platform.StreamControl, rec))
	h.document = h.document.Apply(delta)
	h.revision++
}

func (h *limitsHarness) must(err error) {
	if err != nil {
		h.t.Helper()
		h.t.Fatal(err)
	}
}

// startNode starts a daemon, and creates the callers' client for it.
func (h *limitsHarness) startNode(name string) *limitNode {
	n := &limitNode{name: name, gate: newGate()}
	s := settings.Default()
	s.Instance, s.DataCentre, s.Rack = name, "dc", "r"
	s.Peers.Advertise = name + ":peer"
	d, err := daemon.New(s, daemon.Ports{
		Log:       gatedLog{memoryLog: h.log, gate: n.gate},
		Directory: gatedDirectory{harness: h, gate: n.gate},
		Backends:  gatedBackends{limitsBackends: h.backends, gate: n.gate},
		DialPeer: func(ctx context.Context, addr string) (net.Conn, error) {
			if n.gate.blocked() || h.peerBlocked(addr) {
				return nil, errFault
			}
			conn, err := h.network.dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return gatedConn{Conn: conn, gate: n.gate}, nil
		},
		Callers:    h.network.listen(name+":callers", n.gate),
		Peers:      h.network.listen(name+":peer", n.gate),
		Operations: h.network.listen(name+":ops", n.gate),
	}, zap.NewNop())
	h.must(err)
	n.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return h.network.dial(ctx, name+":callers")
		},
	}}
	h.mu.Lock()
	h.nodes = append(h.nodes, n)
	h.mu.Unlock()
	go func() { _ = d.Run(h.ctx) }()
	return n
}

// peerBlocked reports whether the node behind a peer address accepts no calls.
func (h *limitsHarness) peerBlocked(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.nodes {
		if n.name+":peer" == addr {
			return n.gate.blocked()
		}
	}
	return true
}

// directoryExpiry is how long the directory goes on listing an instance that has
// fallen silent.
const directoryExpiry = 3 * time.Second

// kill ends a daemon abruptly. The directory drops it only once it has been silent for
// directoryExpiry.
func (h *limitsHarness) kill(n *limitNode) {
	close(n.gate.killed)
	n.gate.cut(true, true)
	go func() {
		select {
		case <-time.After(directoryExpiry):
			h.unlist(n)
		case <-h.ctx.Done():
		}
	}()
}

func (h *limitsHarness) unlist(n *limitNode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unlisted[n.name] = true
}

// generateLoad keeps the given number of requests open at a node until the
// harness stops.
func (h *limitsHarness) generateLoad(n *limitNode, requests int) {
	for range requests {
		go func() {
			for h.ctx.Err() == nil {
				if !h.sendRequest(n) {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
}

func (h *limitsHarness) sendRequest(n *limitNode) bool {
	url := "http://" + n.name + "/v1/queues/" + limitQueue + "/tasks"
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, url, bytes.NewReader([]byte("x")))
	if err != nil {
		return false
	}
	req.Header.Set("Request-Timeout", "5000")
	resp, err := n.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// gatedDirectory is the directory as seen from one node.
type gatedDirectory struct {
	harness *limitsHarness
	gate    *gate
}

// List implements platform.Directory.
func (d gatedDirectory) List(context.Context) ([]platform.Listing, error) {
	if !d.gate.awaitThaw() {
		return nil, errFault
	}
	d.harness.mu.Lock()
	defer d.harness.mu.Unlock()
	var all []platform.Listing
	for _, n := range d.harness.nodes {
		if !d.harness.unlisted[n.name] {
			all = append(all, platform.Listing{Instance: n.name, Role: platform.RoleEntry, DataCentre: "dc", Addr: n.name + ":peer"})
		}
	}
	for i := range limitWorkers {
		name := fmt.Sprint("w", i)
		all = append(all, platform.Listing{
			Instance: name, Role: platform.RoleWorker, DataCentre: "dc", Rack: "r", Addr: name, Slots: limitSlotsPerWorker,
		})
	}
	return all, nil
}

// Reboot implements platform.Directory.
func (d gatedDirectory) Reboot(context.Context, string, string) error { return errFault }
