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

// full is the size that the design is meant for, with a daemon for about each
// 60 workers.
var full = point{members: 60, teams: 430, instances: 3500, changes: 0.25}

const (
	// spreads is how many changes are followed to all daemons.
	spreads = 20
	// restartTimeout bounds the restart of all daemons.
	restartTimeout = 2 * time.Minute
)

// measureFull prints what control costs at the full size, how fast a change
// spreads, and how long all daemons take to serve after they were killed at
// once.
func measureFull(bin string, window time.Duration) error {
	l, err := lab.New(bin)
	if err != nil {
		return err
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout+window+restartTimeout)
	defer cancel()
	s, err := full.setUp(ctx, l)
	if err != nil {
		return err
	}
	c, err := s.cost(ctx, window)
	if err != nil {
		return err
	}
	fmt.Printf("full: members=%d teams=%d instances=%d changes/s=%g cpu_percent=%.3f rss_mb=%.1f log_in_bps=%.0f log_out_bps=%.0f directory_bps=%.0f peers_bps=%.0f appends_per_s=%.2f\n",
		full.members, full.teams, full.instances, full.changes,
		c.cpu, c.rss, c.logIn, c.logOut, c.directory, c.peers, c.appends)
	if err := s.spread(ctx); err != nil {
		return err
	}
	return s.restart(ctx, l)
}

// spread follows changes from their append to the last daemon.
func (s *system) spread(ctx context.Context) error {
	var times []time.Duration
	for range spreads {
		start := time.Now()
		if err := s.change(ctx); err != nil {
			return err
		}
		if err := s.inForce(ctx); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	fmt.Printf("spread: daemons=%d changes=%d median_ms=%.0f max_ms=%.0f\n",
		len(s.daemons), len(times), ms(times[len(times)/2]), ms(times[len(times)-1]))
	return nil
}

// inForce waits until the newest revision is in force at all daemons.
func (s *system) inForce(ctx context.Context) error {
	return s.each(func(d *lab.Daemon) error {
		return lab.Until(ctx, d.Name+" has the revision", func() bool {
			r, err := d.Revision()
			return err == nil && r >= s.revision
		})
	})
}

// restart kills all daemons and starts them again.
func (s *system) restart(ctx context.Context, l *lab.Lab) error {
	for _, d := range s.daemons {
		d.Kill()
	}
	start := time.Now()
	for _, d := range s.daemons {
		if err := l.Restart(d); err != nil {
			return err
		}
	}
	if err := s.each(func(d *lab.Daemon) error { return d.WaitReady(ctx) }); err != nil {
		return err
	}
	ready := time.Since(start)
	if err := s.inForce(ctx); err != nil {
		return err
	}
	fmt.Printf("restart of all: daemons=%d ready_ms=%.0f revision=%d in force\n", len(s.daemons), ms(ready), s.revision)
	return nil
}

func (s *system) each(do func(d *lab.Daemon) error) error {
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

func (s *system) change(ctx context.Context) error {
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
