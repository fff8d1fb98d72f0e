package maintenance

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/store"
)

// progress is the state of a wave in this controller. Its maps are keyed by
// machine name.
type progress struct {
	stages map[string]Stage
	// orderedAt is when each machine was ordered down.
	orderedAt map[string]time.Time
	// orderedInstance is the instance on each machine when it was ordered down.
	orderedInstance map[string]string
	// startAnnounced is true once the start of the wave has been published.
	startAnnounced bool
	// missingSince is when each machine was first missing from the list.
	missingSince map[string]time.Time
	// acknowledged marks the machines whose order the platform acknowledged.
	acknowledged map[string]bool
	// recordedBegun is the number of machines in the stored record's Begun.
	recordedBegun int
	completed     bool
}

// record is the stored form of a wave's progress.
type record struct {
	// Begun holds the machines that the platform has taken down, or that have left
	// the fleet.
	Begun []string
	// Completed is true once all machines of the wave are finished.
	Completed bool
}

func decodeProgress(r store.Record) (int64, *progress, error) {
	number, err := strconv.ParseInt(r.Key, 10, 64)
	if err != nil {
		return 0, nil, errors.Wrap(err, "key")
	}
	var stored record
	if err := msgpack.Unmarshal(r.Value, &stored); err != nil {
		return 0, nil, errors.Wrap(err, "value")
	}
	p := newProgress()
	p.completed = stored.Completed
	p.startAnnounced = true
	for _, name := range stored.Begun {
		p.stages[name] = Finished
	}
	p.recordedBegun = len(stored.Begun)
	return number, p, nil
}

func newProgress() *progress {
	return &progress{stages: map[string]Stage{}, orderedAt: map[string]time.Time{}, orderedInstance: map[string]string{}, missingSince: map[string]time.Time{}, acknowledged: map[string]bool{}}
}

// advance carries a wave on by one pass of the control loop: it updates the
// stages, selects machines to drain, orders drained ones down and stores the
// progress.
func (c *Controller) advance(ctx context.Context, wave catalog.Wave, p *progress) {
	if !p.startAnnounced {
		p.startAnnounced = c.publishStatus(ctx, wave.Number, false)
	}
	c.updateStages(wave, p)
	for _, name := range Plan(c.snapshot(wave, p)) {
		p.stages[name] = Draining
		c.Logger.Info("maintenance.begin", zap.Int64("wave", wave.Number), zap.String("machine", name), zap.String("instance", c.listed[name].Instance), zap.String("pool", c.listed[name].Pool))
	}
	releasedAt := time.Now()
	c.orderDown(ctx, wave, p, c.drained(ctx, p), releasedAt)
	c.recordProgress(ctx, wave, p)
}

// updateStages updates the stages of the wave's machines from the list.
func (c *Controller) updateStages(wave catalog.Wave, p *progress) {
	for _, name := range wave.Machines {
		m, exists := c.listed[name]
		if exists {
			delete(p.missingSince, name)
		}
		switch stage := p.stages[name]; {
		case !exists && stage != Finished:
			if c.hasLeft(p, name) {
				c.Logger.Info("maintenance.machine_left", zap.Int64("wave", wave.Number), zap.String("machine", name))
				p.stages[name] = Finished
			}
		case !exists:
		case stage == Down && c.isBack(p, name, m) && !p.acknowledged[name]:
			// The order wasn't acknowledged, and another order may have caused the
			// change. Repeat it: the platform answers at once if it was done.
			p.stages[name] = Due
		case stage == Down && c.isBack(p, name, m):
			c.Logger.Info("maintenance.done", zap.Int64("wave", wave.Number), zap.String("machine", name), zap.Duration("took", time.Since(p.orderedAt[name])))
			p.stages[name] = Finished
		case stage == Draining && m.State != machine.Up:
			p.stages[name] = Due
		default:
			p.stages[name] = stage
		}
	}
}

// leftAfter is how long a machine must be missing from all lists until it counts as
// having left the fleet. A wave may name one that has joined since the list was read;
// and lists are read in pages, so one that changes its place may be in none of them.
const leftAfter = 3 * time.Second

// hasLeft reports whether a machine has been missing from the lists for leftAfter.
func (c *Controller) hasLeft(p *progress, name string) bool {
	since, known := p.missingSince[name]
	if !known {
		p.missingSince[name] = c.listedAt
		return false
	}
	return c.listedAt.Sub(since) >= leftAfter
}

// isBack reports whether a machine has come up again since its order. The list
// must have been read at least maxListAge after the order.
func (c *Controller) isBack(p *progress, name string, m machine.Machine) bool {
	elapsed := c.listedAt.Sub(p.orderedAt[name])
	if m.State != machine.Up || elapsed < maxListAge {
		return false
	}
	required := unacknowledgedFactor * c.Duration
	if p.acknowledged[name] {
		// It is known to have gone down; a machine that is off has no instance
		// whose new name would show its return.
		required = c.Duration
	}
	return m.Instance != p.orderedInstance[name] || elapsed > required
}

// maintenanceDue returns, by pool, the instances on machines that a wave is still to
// take down.
func (c *Controller) maintenanceDue() map[string][]string {
	due := map[string][]string{}
	for number, wave := range c.View.OperatorState().Waves {
		p := c.waves[number]
		for _, name := range wave.Machines {
			m := c.listed[name]
			if m.Instance != "" && (p == nil || p.stages[name] <= Draining) {
				due[m.Pool] = append(due[m.Pool], m.Instance)
			}
		}
	}
	return due
}

// snapshot returns the input of Plan for a wave.
func (c *Controller) snapshot(wave catalog.Wave, p *progress) Snapshot {
	s := Snapshot{
		Wave: wave, Stages: p.stages, Machines: c.listed,
		PoolSizes: map[string]int{}, SparePools: map[string]bool{}, Load: map[string]int{}, LongRunning: map[string]int{}, Out: map[string]int{}, Waiting: map[string]bool{}, Reserved: map[string]bool{},
	}
	for _, name := range wave.Machines {
		stage := p.stages[name]
		s.Reserved[name] = c.reserved(name)
		if stage != Draining && stage != Down && c.downByFormerHolder(name) {
			s.DownByFormerHolder++
		}
	}
	configuration := c.View.Catalog()
	for _, m := range c.listed {
		s.PoolSizes[m.Pool]++
		known := configuration.Pools[m.Pool]
		s.SparePools[m.Pool] = known != nil && known.Spare
		if m.State != machine.Up && p.stages[m.Name] != Down {
			s.Out[m.Pool]++
		}
	}
	for pool, d := range c.demand {
		s.Waiting[pool] = d.WaitingCPU > 0
		for id, i := range d.Instances {
			s.Load[id], s.LongRunning[id] = i.Runs, i.Lasting
		}
	}
	return s
}

// drained requests the release of the wave's draining machines, and returns those
// that are empty. Machines of spare pools have no instance and count as empty.
func (c *Controller) drained(ctx context.Context, p *progress) []machine.Machine {
	configuration := c.View.Catalog()
	if configuration == nil {
		return nil
	}
	var empty, occupied []machine.Machine
	for name, stage := range p.stages {
		if stage != Draining || c.reserved(name) {
			continue
		}
		m, listed := c.listed[name]
		if !listed {
			continue
		}
		if pool := configuration.Pools[m.Pool]; pool != nil && pool.Spare {
			empty = append(empty, m)
			continue
		}
		occupied = append(occupied, m)
	}
	return append(empty, c.release(ctx, occupied)...)
}

// orderDown orders empty machines, released at the given time, down for maintenance.
func (c *Controller) orderDown(ctx context.Context, wave catalog.Wave, p *progress, machines []machine.Machine, releasedAt time.Time) {
	orders := make([]order, len(machines))
	for n, m := range machines {
		orders[n] = order{machine: m.Name, kind: maintainOrder, call: func(ctx context.Context, by machine.Holder) error {
			return c.Machines.Maintain(ctx, by, m.Name, wave.Number)
		}}
	}
	for n, err := range c.send(ctx, orders, releasedAt) {
		c.handleMaintainResult(wave, p, machines[n], err)
	}
}

// handleMaintainResult sets a machine's stage from the result of its order.
func (c *Controller) handleMaintainResult(wave catalog.Wave, p *progress, m machine.Machine, err error) {
	c.Logger.Info("maintenance.order", zap.Int64("wave", wave.Number), zap.String("machine", m.Name), zap.String("instance", m.Instance), zap.Error(err))
	switch {
	case err == nil, errors.Is(err, machine.ErrUnknown):
		// Without an answer it may be down: it counts as down until the list shows
		// otherwise.
		p.stages[m.Name] = Down
		p.orderedAt[m.Name] = time.Now()
		p.orderedInstance[m.Name] = m.Instance
		p.acknowledged[m.Name] = err == nil
	case errors.Is(err, machine.ErrUnknownMachine), errors.Is(err, machine.ErrNotOfWave):
		p.stages[m.Name] = Finished
	default:
		p.stages[m.Name] = Due
	}
}

// recordProgress stores the wave's progress if more machines have begun, and
// publishes its completion once all machines are finished.
func (c *Controller) recordProgress(ctx context.Context, wave catalog.Wave, p *progress) {
	r := record{Completed: true}
	for _, name := range wave.Machines {
		finished := p.stages[name] == Finished
		if finished || p.acknowledged[name] {
			r.Begun = append(r.Begun, name)
		}
		r.Completed = r.Completed && finished
	}
	if len(r.Begun) > p.recordedBegun {
		c.storeProgress(ctx, wave.Number, r, p)
	}
	if r.Completed && c.publishStatus(ctx, wave.Number, true) {
		p.completed = true
		c.storeProgress(ctx, wave.Number, r, p)
		c.Logger.Info("maintenance.wave_completed", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)))
	}
}

func (c *Controller) storeProgress(ctx context.Context, wave int64, r record, p *progress) {
	value, err := msgpack.Marshal(r)
	if err != nil {
		c.Logger.Error("maintenance.encode", zap.Error(err))
		return
	}
	if err := c.append(ctx, store.Record{Key: strconv.FormatInt(wave, 10), Value: value}); err != nil {
		c.Logger.Warn("maintenance.not_recorded", zap.Int64("wave", wave), zap.Error(err))
		return
	}
	p.recordedBegun = len(r.Begun)
}

// publishStatus writes a wave's status record for operators, and reports whether
// that succeeded.
func (c *Controller) publishStatus(ctx context.Context, wave int64, completed bool) bool {
	key, value := c.Status(wave, completed)
	err := c.Log.Append(ctx, c.StatusTopic, 0, []store.Record{{Key: key, Value: value}}, nil)
	if err != nil {
		c.Logger.Warn("maintenance.status_not_written", zap.Int64("wave", wave), zap.Error(err))
	}
	return err == nil
}
