package traffic

import "time"

// Dispatch starts all waiting requests for which there is a credit and an
// instance.
func (b *Broker) Dispatch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.Waiting() == 0 {
		return
	}
	for name, pool := range b.pools {
		b.startWaiting(name, pool)
	}
}

// startWaiting starts waiting requests of one pool. The caller holds mu.
func (b *Broker) startWaiting(name string, p *pool) {
	var credit Credit
	acquire := func(team string) bool {
		c, ok := b.opts.Credits.Acquire(team)
		if !ok {
			return false
		}
		// Pop prefers this team to the one that the earlier credit was acquired
		// for.
		if credit != nil {
			credit.Release()
		}
		credit = c
		return true
	}
	for p.Free() > 0 {
		credit = nil
		r := b.queue.Pop(name, acquire)
		if r == nil {
			return
		}
		instance, ok := p.Place(b.opts.Random)
		if !ok {
			b.queue.Requeue(r)
			credit.Release()
			return
		}
		b.queue.Started(r)
		p.Started(instance, r.Cost)
		b.running[instance]++
		b.opts.Credits.AddWaiting(r.Team, -1)
		r.Value.(*waiter).placed <- placement{
			instance: instance,
			addr:     b.appliedView.Fleet.Get(instance).Addr,
			pool:     p,
			credit:   credit,
		}
	}
}

// releasePlacement frees the slot and the credit of a placement on which
// nothing runs. A runTime of zero is not recorded.
func (b *Broker) releasePlacement(w *waiter, pl placement, runTime time.Duration) {
	pl.credit.Release()
	b.freeSlot(w, pl, runTime)
}

func (b *Broker) freeSlot(w *waiter, pl placement, runTime time.Duration) {
	b.mu.Lock()
	pl.pool.Ended(pl.instance, w.Request.Cost)
	b.queue.Ended(&w.Request, runTime)
	b.demand.recordRunTime(w.Queue, runTime)
	b.running[pl.instance]--
	if b.running[pl.instance] == 0 {
		delete(b.running, pl.instance)
	}
	b.mu.Unlock()
	b.Dispatch()
}
