package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// releasePollInterval is how often a stopping daemon looks for tasks that may run.
const releasePollInterval = 50 * time.Millisecond

// shutdown is the planned stop: readiness fails, requests are served on for
// the balancer's delay with each connection ending after its answer, then the
// listener closes and what runs has until the drain deadline.
func (d *Daemon) shutdown(callers *http.Server, cancelRequests context.CancelFunc) {
	d.logger.Info("daemon.stopping")
	close(d.stopping)
	d.handler.CloseConnections()
	time.Sleep(d.settings.Timeouts.BalancerDelay.D())
	d.drain(callers, cancelRequests)
	d.leave()
	d.logger.Info("daemon.stopped")
}

// drain ends the work of callers and peers. At the deadline what waits is
// refused as not run, and what runs is stopped and answered as such.
func (d *Daemon) drain(callers *http.Server, cancelRequests context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain.D())
	defer cancel()
	err := callers.Shutdown(ctx)
	if err == nil {
		err = d.forwarded.Drain(ctx)
	}
	if err == nil {
		return
	}
	d.logger.Warn("daemon.drain_deadline", zap.Error(err))
	cancelRequests()
	graceCtx, stop := context.WithTimeout(context.Background(), cancelGrace)
	defer stop()
	if err := callers.Shutdown(graceCtx); err != nil {
		d.logger.Warn("daemon.connections_cut", zap.Error(err))
		// What is left can't be answered any more.
		_ = callers.Close()
	}
	d.forwarded.Cancel()
	if err := d.forwarded.Drain(graceCtx); err != nil {
		d.logger.Warn("daemon.forwarded_cut", zap.Error(err))
	}
}

// leave gives up membership once no task holds a credit and the idempotency
// claims are handed over. A daemon that can't bring that about stays a member
// until it is reclaimed: its grants count while its tasks may run, and the loss
// of claims is noted.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if !d.waitReleased(ctx) {
		d.logger.Warn("daemon.leave_withheld", zap.Int("credits", d.account.Held()))
		return
	}
	if err := d.claims.Leave(ctx); err != nil {
		d.logger.Warn("daemon.handover_failed", zap.Error(err))
		return
	}
	if err := d.loop.Leave(ctx); err != nil {
		d.logger.Warn("daemon.leave_failed", zap.Error(err))
	}
}

// waitReleased waits until no task holds a credit. It returns false when ctx ends
// first.
func (d *Daemon) waitReleased(ctx context.Context) bool {
	tick := time.NewTicker(releasePollInterval)
	defer tick.Stop()
	for d.account.Held() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
