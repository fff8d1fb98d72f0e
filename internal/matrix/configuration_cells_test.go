package matrix

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
)

// operatorRetries is how often an operator retries a failed change, one second
// apart.
const operatorRetries = 60

// configurationChange is a change that must stop some tasks from starting.
type configurationChange struct {
	name     string
	delta    configuration.Delta
	mustStop func(taskStart) bool
}

var configurationChanges = []configurationChange{
	{
		name:     "key withdrawn",
		delta:    configuration.Delta{Keys: configuration.Changes[configuration.Key]{Delete: []string{"a"}}},
		mustStop: func(st taskStart) bool { return st.team == "a" },
	},
	{
		name:     "data centre out",
		delta:    setInService("dc2", false),
		mustStop: func(st taskStart) bool { return st.dataCentre == "dc2" },
	},
	{
		name: "two data centres out",
		delta: configuration.Delta{DataCentres: configuration.Changes[configuration.DataCentre]{
			Set: map[string]configuration.DataCentre{"dc1": {Region: "r"}, "dc2": {Region: "r"}},
		}},
		mustStop: func(taskStart) bool { return true },
	},
}

func setInService(name string, in bool) configuration.Delta {
	return configuration.Delta{DataCentres: configuration.Changes[configuration.DataCentre]{
		Set: map[string]configuration.DataCentre{name: {Region: "r", InService: in}},
	}}
}

// configurationFault is a fault injected around a change.
type configurationFault struct {
	name string
	// beforeCallers runs before the callers start, beforeChange right before
	// the change is applied, and afterChange right after it is accepted.
	beforeCallers func(h *configurationHarness)
	beforeChange  func(h *configurationHarness)
	afterChange   func(h *configurationHarness)
	// refusingNodes lists the nodes that must refuse all work with the verdict
	// not-run.
	refusingNodes []int
}

var configurationFaults = []configurationFault{
	{name: "none"},
	{name: "one daemon restarted before", beforeChange: func(h *configurationHarness) { h.restart(0) }},
	{name: "one daemon restarted after", afterChange: func(h *configurationHarness) { h.restart(0) }},
	{name: "all daemons restarted before", beforeChange: func(h *configurationHarness) { h.restart(0, 1, 2) }},
	{name: "all daemons restarted after", afterChange: func(h *configurationHarness) { h.restart(0, 1, 2) }},
	{name: "log outage before", beforeChange: func(h *configurationHarness) {
		h.logOutage(10 * time.Second)
	}},
	{name: "log outage during", beforeChange: func(h *configurationHarness) {
		h.changeLog(func(l *sharedLog) { l.down = true })
		time.AfterFunc(20*time.Second, func() { h.changeLog(func(l *sharedLog) { l.down = false }) })
	}},
	// An outage that begins before any daemon has read the change looks the
	// same as no change: that cell is impossible.
	{name: "log outage after one daemon has read", beforeChange: func(h *configurationHarness) { h.cutLog(1, 2) }, afterChange: func(h *configurationHarness) {
		h.waitUntil("one daemon to activate the change", time.Second, func() bool { return h.revisionActive(2, h.nodes[0]) })
		h.changeLog(func(l *sharedLog) { l.down = true })
	}},
	{name: "log outage after, one daemon restarted in it", beforeChange: func(h *configurationHarness) { h.cutLog(1) }, afterChange: func(h *configurationHarness) {
		h.waitUntil("two daemons to activate the change", time.Second, func() bool { return h.revisionActive(2, h.nodes[0], h.nodes[2]) })
		h.changeLog(func(l *sharedLog) { l.down = true })
		h.restart(0)
	}},
	{name: "reply lost", beforeChange: func(h *configurationHarness) {
		h.changeLog(func(l *sharedLog) { l.loseReplies = true })
	}},
	{name: "retention passed", beforeCallers: func(h *configurationHarness) { time.Sleep(70 * time.Second) }, beforeChange: func(h *configurationHarness) {
		h.expireFirstCheckpoint()
		h.restart(0, 1, 2)
	}},
	{name: "newest checkpoint damaged", beforeCallers: func(h *configurationHarness) { time.Sleep(70 * time.Second) }, beforeChange: func(h *configurationHarness) {
		h.damageNewestCheckpoint()
		h.restart(0, 1, 2)
	}},
	{name: "one daemon cut from the log", beforeChange: func(h *configurationHarness) {
		h.cutLog(0)
	}},
	{name: "one daemon cut from the log and restarted", beforeChange: func(h *configurationHarness) {
		h.restart(0)
		h.cutLog(0)
	}},
	{name: "one daemon cut from the log and from peers", refusingNodes: []int{0}, beforeChange: func(h *configurationHarness) {
		h.network.isolate(h.nodes[0].name, true)
		h.cutLog(0)
	}},
	{name: "one daemon cut off as the change is made", refusingNodes: []int{0}, afterChange: func(h *configurationHarness) {
		h.nodes[0].run.log.setCut(true)
		h.network.isolate(h.nodes[0].name, true)
	}},
}

// restart kills the daemons of the nodes, all at once, and starts new ones.
func (h *configurationHarness) restart(nodes ...int) {
	for _, i := range nodes {
		h.killDaemon(h.nodes[i])
	}
	for _, i := range nodes {
		h.startDaemon(h.nodes[i])
	}
}

// cutLog cuts nodes from the log, and leaves their peers time to relay it to
// them.
func (h *configurationHarness) cutLog(nodes ...int) {
	for _, i := range nodes {
		h.nodes[i].run.log.setCut(true)
	}
	time.Sleep(5 * time.Second)
}

func (h *configurationHarness) changeLog(change func(l *sharedLog)) { h.log.set(change) }

func (h *configurationHarness) logOutage(d time.Duration) {
	h.changeLog(func(l *sharedLog) { l.down = true })
	time.Sleep(d)
	h.changeLog(func(l *sharedLog) { l.down = false })
}

// expireFirstCheckpoint drops the control records before the newest checkpoint,
// including those that follow the first one.
func (h *configurationHarness) expireFirstCheckpoint() {
	h.changeLog(func(l *sharedLog) {
		checkpoints := l.stream(platform.StreamCheckpoint).entries
		if len(checkpoints) < 2 {
			h.t.Fatalf("%d checkpoints after 70 s, want at least 2", len(checkpoints))
		}
		newest, err := controlstate.Restore(checkpoints[len(checkpoints)-1])
		if err != nil {
			h.t.Fatal(err)
		}
		l.trim(l.stream(platform.StreamControl), int(newest.Next()))
	})
}

// damageNewestCheckpoint truncates the newest of at least two checkpoints.
func (h *configurationHarness) damageNewestCheckpoint() {
	h.changeLog(func(l *sharedLog) {
		st := l.stream(platform.StreamCheckpoint)
		if len(st.entries) < 2 {
			h.t.Fatalf("%d checkpoints after 70 s, want at least 2", len(st.entries))
		}
		newest := &st.entries[len(st.entries)-1]
		*newest = (*newest)[:len(*newest)/2]
	})
}

// TestConfigurationMatrix makes each change under each fault, with callers at
// every daemon.
func TestConfigurationMatrix(t *testing.T) {
	for _, f := range configurationFaults {
		for _, c := range configurationChanges {
			t.Run(f.name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runConfigurationCell(t, f, c) })
			})
		}
	}
}

func runConfigurationCell(t *testing.T, f configurationFault, c configurationChange) {
	h := newConfigurationHarness(t)
	h.begin(f.beforeCallers)
	if f.beforeChange != nil {
		f.beforeChange(h)
	}
	applied, err := h.apply(configurationDocument().Apply(c.delta), 1)
	for retry := 0; err != nil && !errors.Is(err, configuration.ErrStale) && retry < operatorRetries; retry++ {
		// The operator got an error and retries.
		time.Sleep(time.Second)
		applied, err = h.apply(configurationDocument().Apply(c.delta), 1)
	}
	if err != nil {
		t.Fatal(err)
	}
	acceptedAt := time.Now()
	if f.afterChange != nil {
		f.afterChange(h)
	}
	h.waitUntil("the change to be active at every reachable daemon", activationBound-time.Since(acceptedAt), func() bool {
		return h.revisionActive(applied.Revision, h.reachableNodes(f)...)
	})
	time.Sleep(10 * time.Second)
	for _, n := range h.reachableNodes(f) {
		if !h.ready(n) {
			t.Errorf("%s is not ready", n.name)
		}
	}
	h.end()
	h.checkAll()
	if n := h.startsAfter(acceptedAt.Add(stopBound), c.mustStop); n > 0 {
		t.Errorf("%d tasks started more than %s after the change", n, stopBound)
	}
	if h.startsAfter(time.Time{}, c.mustStop) == 0 {
		t.Error("no task started that the change had to stop")
	}
	for _, i := range f.refusingNodes {
		h.checkRefusals(h.nodes[i], acceptedAt.Add(stopBound))
	}
}

// reachableNodes returns the nodes at which the change must become active.
func (h *configurationHarness) reachableNodes(f configurationFault) []*node {
	var nodes []*node
	for i, n := range h.nodes {
		refusing := false
		for _, r := range f.refusingNodes {
			refusing = refusing || r == i
		}
		if !refusing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// checkRefusals checks that a daemon refused every request sent after the given
// time, with the verdict not-run.
func (h *configurationHarness) checkRefusals(n *node, after time.Time) {
	h.t.Helper()
	refused := 0
	for _, r := range h.results {
		if r.node != n.name || r.sentAt.Before(after) {
			continue
		}
		refused++
		if r.status == http.StatusOK || r.verdict != "not-run" {
			h.t.Errorf("%s answered %d %q to %s", n.name, r.status, r.verdict, r.body)
		}
	}
	if refused == 0 {
		h.t.Errorf("%s received no request after the change", n.name)
	}
}

// TestDataCentreLeavesAndReturns takes data centres out of service and back,
// one at a time and both at once. Tasks start in every data centre in service,
// and in no other.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newConfigurationHarness(t)
		h.begin(nil)
		doc := configurationDocument()
		type period struct {
			from, to time.Time
			in       map[string]bool
		}
		var periods []period
		revision := uint64(1)
		for i := range 6 {
			in := map[string]bool{"dc1": i%2 == 0, "dc2": i%3 == 0}
			for _, dc := range []string{"dc1", "dc2"} {
				doc = doc.Apply(setInService(dc, in[dc]))
			}
			applied, err := h.apply(doc, revision)
			if err != nil {
				t.Fatal(err)
			}
			revision = applied.Revision
			from := time.Now().Add(stopBound)
			time.Sleep(8 * time.Second)
			periods = append(periods, period{from, time.Now(), in})
		}
		h.end()
		h.checkAll()
		for i, p := range periods {
			for dc, in := range p.in {
				n := 0
				for _, st := range h.backend.starts {
					if st.dataCentre == dc && st.at.After(p.from) && st.at.Before(p.to) {
						n++
					}
				}
				if in != (n > 0) {
					t.Errorf("period %d: %s in service %v, %d starts", i, dc, in, n)
				}
			}
		}
	})
}

// TestOperatorsRace has two operators apply a change to the same revision, with
// and without lost replies: one succeeds, the other gets ErrStale.
func TestOperatorsRace(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("reply lost %v", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newConfigurationHarness(t)
				h.begin(nil)
				h.changeLog(func(l *sharedLog) { l.loseReplies = lost })
				outcomes := make(chan error, 2)
				for _, c := range configurationChanges[:2] {
					go func() {
						_, err := h.apply(configurationDocument().Apply(c.delta), 1)
						outcomes <- err
					}()
				}
				succeeded, stale := 0, 0
				for range 2 {
					switch err := <-outcomes; {
					case err == nil:
						succeeded++
					case errors.Is(err, configuration.ErrStale):
						stale++
					}
				}
				if succeeded != 1 || stale != 1 {
					t.Errorf("%d operators succeeded, %d got ErrStale; want one of each", succeeded, stale)
				}
				h.waitUntil("the change to be active at every daemon", activationBound, func() bool { return h.revisionActive(2, h.nodes...) })
				h.end()
				h.checkAll()
			})
		})
	}
}
