package matrix

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryltide/beryltide/internal/standin"
)

// TestAnswersPairs injects a second fault soon after the first, at every step.
func TestAnswersPairs(t *testing.T) {
	var cells []answersCell
	for _, c := range answersCells() {
		for i := range answersFaults {
			if answersFaults[i].name == "none" || answersFaults[i].name == c.fault.name || c.fault.name == "none" {
				continue
			}
			pair := c
			pair.second = &answersFaults[i]
			cells = append(cells, pair)
		}
	}
	runAnswers(t, "answers pairs", cells, pairsStride)
}

// TestRetryBudget has the backend servers refuse every task: the number of
// attempts sent to them stays under 1.1 times the number of requests.
func TestRetryBudget(t *testing.T) {
	const requests = 900
	synctest.Test(t, func(t *testing.T) {
		h := newAnswersHarness(t, 3)
		defer h.close()
		h.setFault(standin.Fault{Kind: standin.KindRefuse})
		var attempts atomic.Int64
		h.network.mu.Lock()
		h.network.observer = func(_, _ string, data []byte) {
			if contains(data, "POST /v1/tasks") {
				attempts.Add(1)
			}
		}
		h.network.mu.Unlock()
		var calls sync.WaitGroup
		for i := range requests {
			calls.Go(func() {
				h.submit(h.ctx, h.entries[i%3], submission{queue: "previews", body: "preview", timeout: 5 * time.Second})
			})
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
		t.Logf("%d requests, %d attempts sent to backend servers", requests, attempts.Load())
		if attempts.Load() >= requests*11/10 {
			t.Errorf("%d requests caused %d attempts, not under 1.1 times as many", requests, attempts.Load())
		}
	})
}

// TestRollingRestart replaces the daemons one after another under load. The
// balancer sees readiness with a delay; no request is lost or refused.
func TestRollingRestart(t *testing.T) {
	const probeInterval = balancerDelay / 2
	synctest.Test(t, func(t *testing.T) {
		h := newAnswersHarness(t, 3)
		defer h.close()
		// Some requests are still running when the balancer's delay has passed.
		h.setFault(standin.Fault{Kind: standin.KindLate, DelayMS: 1500})
		var mu sync.Mutex
		var ready []*entryInstance
		probe := func() {
			var nowReady []*entryInstance
			for _, e := range h.allEntries() {
				if h.ready(e) {
					nowReady = append(nowReady, e)
				}
			}
			mu.Lock()
			ready = nowReady
			mu.Unlock()
		}
		probe()
		stop := make(chan struct{})
		var work sync.WaitGroup
		work.Go(func() {
			for tick := time.NewTicker(probeInterval); ; {
				select {
				case <-tick.C:
					probe()
				case <-stop:
					tick.Stop()
					return
				}
			}
		})
		work.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				mu.Lock()
				to := ready[i%len(ready)]
				mu.Unlock()
				work.Go(func() {
					s := submission{queue: "orders", body: fmt.Sprint("order ", i), timeout: 10 * time.Second}
					if i%2 == 0 {
						s.key = s.body
					}
					if r := h.submit(h.ctx, to, s); !r.ok() || r.startsSeen != 1 {
						t.Errorf("request %d through %s: %d %s %s %v, %d starts", i, to.name, r.status, r.verdict, r.code, r.err, r.startsSeen)
					}
				})
			}
		})
		for _, old := range h.allEntries() {
			replacement := h.addEntry()
			h.waitUntil(replacement.name, func() bool { return h.ready(replacement) })
			time.Sleep(3 * probeInterval)
			h.stopEntry(old)
			<-old.done
			time.Sleep(3 * probeInterval)
		}
		close(stop)
		work.Wait()
	})
}
