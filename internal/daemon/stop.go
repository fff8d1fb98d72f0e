package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// releasePollInterval is the interval at which a stopping daemon polls for
// credits that tasks still hold.
const releasePollInterval = 50 * time.Millisecond

// shutdown stops the daemon gracefully. Readiness fails and requests are still
// served for the balancer's delay, with each connection closed after its answer.
// Then the listener closes, and running requests have until the drain deadline.
func (d *Daemon) shutdown(callers *http.Server, cancelRequests context.CancelFunc) {
	d.logger.Info("daemon.stopping")
	close(d.stopping)
	d.handler.CloseConnections()
	time.Sleep(d.settings.Timeouts.BalancerDelay.D())
	d.drain(callers, cancelRequests)
	d.leave()
	d.logger.Info("daemon.stopped")
}

// drain waits for the requests of callers and peers to end. At the deadline,
// queued requests are refused with verdict not-run, and running ones are cancelled
// and answered accordingly.
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
		// The remaining requests can no longer be answered.
		_ = callers.Close()
	}
	d.forwarded.Cancel()
	if err := d.forwarded.Drain(graceCtx); err != nil {
		d.logger.Warn("daemon.forwarded_cut", zap.Error(err))
	}
}

// leave ends the membership once no task holds a credit and the idempotency claims
// are handed over. If that fails, the daemon stays a member until it is reclaimed:
// its grants must count while its tasks may run, and the loss of its claims is
// then recorded.
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

// waitReleased waits until no task holds a credit. It returns false if ctx ends
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
