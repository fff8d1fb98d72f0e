package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/tools/internal/lab"
)

// fullPoint is the size that the design is meant for, with one daemon for about
// 60 workers.
var fullPoint = point{members: 60, teams: 430, instances: 3500, changesPerSecond: 0.25}

const (
	// spreadChanges is the number of configuration changes whose propagation is
	// measured.
	spreadChanges = 20
	// restartTimeout is the time allowed for the measurements of propagation and
	// of the restart of all daemons.
	restartTimeout = 2 * time.Minute
)

// measureFull prints the cost of control at the full size, the time until a
// configuration change is active at all daemons, and the time until all daemons
// are ready again after they were killed at once.
func measureFull(bin string, window time.Duration) error {
	l, err := lab.New(bin)
	if err != nil {
		return err
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout+window+restartTimeout)
	defer cancel()
	s, err := fullPoint.setUp(ctx, l)
	if err != nil {
		return err
	}
	c, err := s.measureCost(ctx, window)
	if err != nil {
		return err
	}
	fmt.Printf("full: members=%d teams=%d instances=%d changes/s=%g cpu_percent=%.3f rss_mb=%.1f log_in_bps=%.0f log_out_bps=%.0f directory_bps=%.0f peers_bps=%.0f appends_per_s=%.2f\n",
		fullPoint.members, fullPoint.teams, fullPoint.instances, fullPoint.changesPerSecond,
		c.cpuPercent, c.rssMB, c.logInBytes, c.logOutBytes, c.directoryBytes, c.peerBytes, c.appends)
	if err := s.measureSpread(ctx); err != nil {
		return err
	}
	return s.measureRestart(ctx, l)
}

// measureSpread prints the time from the append of a configuration change until
// it is active at the last daemon, as median and maximum over spreadChanges
// changes.
func (s *system) measureSpread(ctx context.Context) error {
	var times []time.Duration
	for range spreadChanges {
		start := time.Now()
		if err := s.changeConfiguration(ctx); err != nil {
			return err
		}
		if err := s.waitActive(ctx); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	fmt.Printf("spread: daemons=%d changes=%d median_ms=%.0f max_ms=%.0f\n",
		len(s.daemons), len(times), ms(times[len(times)/2]), ms(times[len(times)-1]))
	return nil
}

// waitActive waits until the newest revision is active at all daemons.
func (s *system) waitActive(ctx context.Context) error {
	return s.forEachDaemon(func(d *lab.Daemon) error {
		return lab.Until(ctx, d.Name+" has activated the newest revision", func() bool {
			r, err := d.Revision()
			return err == nil && r >= s.revision
		})
	})
}

// measureRestart kills all daemons, starts them again and prints the time until
// all are ready.
func (s *system) measureRestart(ctx context.Context, l *lab.Lab) error {
	for _, d := range s.daemons {
		d.Kill()
	}
	start := time.Now()
	for _, d := range s.daemons {
		if err := l.Restart(d); err != nil {
			return err
		}
	}
	if err := s.forEachDaemon(func(d *lab.Daemon) error { return d.WaitReady(ctx) }); err != nil {
		return err
	}
	ready := time.Since(start)
	if err := s.waitActive(ctx); err != nil {
		return err
	}
	fmt.Printf("restart of all: daemons=%d ready_ms=%.0f revision=%d in force\n", len(s.daemons), ms(ready), s.revision)
	return nil
}

func (s *system) forEachDaemon(do func(d *lab.Daemon) error) error {
	var wg sync.WaitGroup
	failures := make([]error, len(s.daemons))
	for i, d := range s.daemons {
		wg.Go(func() { failures[i] = do(d) })
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *system) changeConfiguration(ctx context.Context) error {
	next := s.doc.Apply(configuration.Delta{Teams: configuration.Changes[configuration.Team]{
		Set: map[string]configuration.Team{"team-000": {Share: 1, Limit: 10 + int(s.revision%50)}},
	}})
	if _, err := lab.Configure(ctx, s.platform, s.revision, s.doc, next); err != nil {
		return err
	}
	s.doc = next
	s.revision++
	return nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
