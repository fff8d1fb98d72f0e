package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/pause"
)

const (
	// seedsPerOutage is how many seeds in a row have one outage: it takes up a third of the
	// time of the other faults.
	seedsPerOutage = 2
	// outageKind is the kind of the fault of outageOfAll.
	outageKind = "all daemons away for long"
	// outageTime is longer than three times the objective of the job accepted before it,
	// after which it has no value left: its estimate of 300 ms twice, and a second.
	outageTime = 6 * time.Second
)

// outageOfAll kills all daemons right after a job was accepted, and starts them again once
// it has no value left. Other faults start none of them meanwhile. It returns the schedule.
func (h *harness) outageOfAll(ctx context.Context) []string {
	h.checker.drew(outageKind)
	random := rand.New(rand.NewPCG(h.seed, 4))
	pause.For(ctx, between(random, 4*time.Second, 8*time.Second))
	accepted := h.submitWideGang(ctx, outageCaller)
	begin := time.Now()
	h.eachDaemon(func(d *process) {
		d.mu.Lock()
		d.signal(syscall.SIGKILL)
	})
	h.eachDaemon(func(d *process) { d.wait() })
	time.Sleep(outageTime)
	if accepted {
		h.checker.tookEffect(outageKind)
	}
	h.eachDaemon(func(d *process) {
		if err := d.restart(h.binary); err != nil {
			h.checker.report("%s", err)
		}
		d.mu.Unlock()
	})
	return []string{fmt.Sprintf("%6.2f s  all daemons are away for %s", begin.Sub(h.checker.startedAt).Seconds(), outageTime)}
}
