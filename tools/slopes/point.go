package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/status"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

const (
	setUpTimeout = 2 * time.Minute
	// settleTime is the time from readiness to the measurement, in which the
	// members join and get their first credits.
	settleTime = 4 * time.Second
	// instancesPerPool gives 113 pools at the full size, with the spare pool.
	instancesPerPool = 31
	megabyte         = 1 << 20
)

// point is a size of the system at which the cost is measured.
type point struct {
	members, teams, instances int
	// changesPerSecond is the rate of configuration changes.
	changesPerSecond float64
}

// cost is the mean cost of control for one daemon.
type cost struct {
	// cpuPercent is in percent of a core, rssMB in units of 2^20 bytes. The
	// fields logInBytes to peerBytes are in bytes per second. appends is the
	// number of records per second that all daemons together append to the log.
	cpuPercent, rssMB, logInBytes, logOutBytes, directoryBytes, peerBytes, appends float64
}

// system is the running processes of a point, with the configuration and
// revision that were last applied.
type system struct {
	point
	platform string
	daemons  []*lab.Daemon
	doc      *configuration.Document
	revision uint64
}

// setUp starts the processes of a point, waits until all daemons are ready and
// then for settleTime.
func (p point) setUp(ctx context.Context, l *lab.Lab) (*system, error) {
	addr, _, err := l.StartStandin("-instances", strconv.Itoa(p.instances), "-data-centres", "dc1,dc2,dc3,dc4,dc5")
	if err != nil {
		return nil, err
	}
	s := &system{point: p, platform: addr, doc: p.document(), revision: 1}
	if _, err := lab.Configure(ctx, addr, 0, &configuration.Document{}, s.doc); err != nil {
		return nil, err
	}
	if err := lab.Adopt(ctx, addr, p.pools()); err != nil {
		return nil, err
	}
	if err := s.start(ctx, l); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return s, nil
}

func (s *system) start(ctx context.Context, l *lab.Lab) error {
	for i := range s.members {
		d, err := l.StartDaemon(fmt.Sprintf("entry-%02d", i+1), fmt.Sprintf("dc%d", i%5+1), s.platform, nil)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	return s.forEachDaemon(func(d *lab.Daemon) error { return d.WaitReady(ctx) })
}

// measureCost returns the mean cost over a window.
func (s *system) measureCost(ctx context.Context, window time.Duration) (cost, error) {
	before, err := takeReading(ctx, s.daemons, s.platform)
	if err != nil {
		return cost{}, err
	}
	if err := s.changeRepeatedly(ctx, window); err != nil {
		return cost{}, err
	}
	after, err := takeReading(ctx, s.daemons, s.platform)
	if err != nil {
		return cost{}, err
	}
	return after.costSince(before, len(s.daemons)), nil
}

// changeRepeatedly applies configuration changes at the rate of the point until
// the window ends.
func (s *system) changeRepeatedly(ctx context.Context, window time.Duration) error {
	end := time.After(window)
	if s.changesPerSecond == 0 {
		<-end
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.changesPerSecond))
	defer tick.Stop()
	for {
		select {
		case <-end:
			return nil
		case <-tick.C:
		}
		if err := s.changeConfiguration(ctx); err != nil {
			return err
		}
	}
}

// reading holds the resource use of all daemons together at one time, and the
// head of the control log.
type reading struct {
	at      time.Time
	cpu     time.Duration
	rss     int64
	control map[string]status.Bytes
	head    int64
}

func takeReading(ctx context.Context, daemons []*lab.Daemon, addr string) (reading, error) {
	r := reading{at: time.Now(), control: map[string]status.Bytes{}}
	for _, d := range daemons {
		u, err := d.Usage()
		if err != nil {
			return r, err
		}
		s, err := d.Status()
		if err != nil {
			return r, err
		}
		r.cpu += u.CPU
		r.rss += u.RSS
		for kind, b := range s.Control {
			sum := r.control[kind]
			r.control[kind] = status.Bytes{In: sum.In + b.In, Out: sum.Out + b.Out}
		}
	}
	batch, err := logclient.New("http://"+addr, http.DefaultTransport).Read(ctx, platform.StreamControl, 0, 1, 0)
	r.head = int64(batch.Head)
	return r, err
}

func (r reading) costSince(earlier reading, daemons int) cost {
	seconds := r.at.Sub(earlier.at).Seconds()
	daemonSeconds := seconds * float64(daemons)
	rate := func(kind string, of func(status.Bytes) int64) float64 {
		return float64(of(r.control[kind])-of(earlier.control[kind])) / daemonSeconds
	}
	in := func(b status.Bytes) int64 { return b.In }
	out := func(b status.Bytes) int64 { return b.Out }
	both := func(b status.Bytes) int64 { return b.In + b.Out }
	return cost{
		cpuPercent:     100 * (r.cpu - earlier.cpu).Seconds() / daemonSeconds,
		rssMB:          float64(r.rss) / megabyte / float64(daemons),
		logInBytes:     rate("log", in),
		logOutBytes:    rate("log", out),
		directoryBytes: rate("directory", both),
		peerBytes:      rate("peers", both),
		appends:        float64(r.head-earlier.head) / seconds,
	}
}

func (p point) pools() []string {
	n := max(1, p.instances/instancesPerPool)
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("pool-%03d", i)
	}
	return names
}

func (p point) document() *configuration.Document {
	doc := &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Services: map[string]configuration.Service{"service": {
			AvailabilityObjective: 0.999,
			LatencyObjective:      configuration.Duration(time.Second),
			DailyBudget:           p.instances,
		}},
		Pools:  map[string]configuration.Pool{"spare": {MaxSize: p.instances, Spare: true}},
		Queues: map[string]configuration.Queue{},
		Teams:  map[string]configuration.Team{},
		Keys:   map[string]configuration.Key{},
	}
	for i := range 5 {
		doc.DataCentres[fmt.Sprintf("dc%d", i+1)] = configuration.DataCentre{Region: "region", InService: true}
	}
	pools := p.pools()
	poolSize := p.instances / len(pools)
	for _, name := range pools {
		doc.Pools[name] = configuration.Pool{Service: "service", Size: poolSize, MinSize: 0, MaxSize: p.instances}
		doc.Queues[name] = configuration.Queue{
			Service: "service", Pool: name, RunTime: configuration.Duration(time.Second), MaxBody: megabyte, Depth: 100,
		}
	}
	for i := range p.teams {
		name := fmt.Sprintf("team-%03d", i)
		doc.Teams[name] = configuration.Team{Share: 1, Limit: 60}
		doc.Keys[name] = configuration.Key{Team: name, Hash: configuration.HexKeyHash(name)}
	}
	return doc
}
