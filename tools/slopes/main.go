// Command slopes measures how the cost of control for one daemon grows with the
// system.
//
// It runs real daemons against the simulated platform of the program standin
// and varies the number of members, teams and instances and the rate of
// configuration changes one at a time. For each value it measures every daemon's
// processor time, resident memory and control traffic over a window without
// requests, and fits a line to the results of each axis.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/beryltide/beryltide/tools/internal/lab"
)

// axis is one variable of the system's size, with the values to measure.
type axis struct {
	name   string
	values []float64
	apply  func(p *point, value float64)
}

// basePoint gives the values of the other axes while one is varied.
var basePoint = point{members: 4, teams: 6, instances: 48}

var axes = []axis{
	{"members", []float64{2, 4, 8, 16, 32}, func(p *point, v float64) { p.members = int(v) }},
	{"teams", []float64{6, 110, 220, 430}, func(p *point, v float64) { p.teams = int(v) }},
	{"instances", []float64{48, 875, 1750, 3500}, func(p *point, v float64) { p.instances = int(v) }},
	{"changes/s", []float64{0, 1, 2, 4}, func(p *point, v float64) { p.changesPerSecond = v }},
}

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	window := flag.Duration("window", 8*time.Second, "length of each measurement")
	onlyAxis := flag.String("axis", "", "axis to measure; empty for all")
	fullSize := flag.Bool("full", false, "measure the full size instead: cost, propagation of changes, restart of all daemons")
	flag.Parse()
	measure := func() error { return measureAxes(*bin, *window, *onlyAxis) }
	if *fullSize {
		measure = func() error { return measureFull(*bin, *window) }
	}
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// measureAxes prints the costs along each axis, or only along the one named
// onlyAxis, and the lines fitted to them.
func measureAxes(bin string, window time.Duration, onlyAxis string) error {
	fmt.Printf("date=%s window=%s base: members=%d teams=%d instances=%d changes/s=%g, no requests\n\n",
		time.Now().Format(time.DateOnly), window, basePoint.members, basePoint.teams, basePoint.instances, basePoint.changesPerSecond)
	fmt.Println("| axis | value | CPU % of a core | RSS MB | log in B/s | log out B/s | directory B/s | peers B/s | appends/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var fits []string
	for _, a := range axes {
		if onlyAxis != "" && onlyAxis != a.name {
			continue
		}
		fit, err := a.measure(bin, window)
		if err != nil {
			return err
		}
		fits = append(fits, fit...)
	}
	fmt.Println("\n| axis | measure | at zero | slope for one more | r² |")
	fmt.Println("|---|---|---|---|---|")
	for _, line := range fits {
		fmt.Println(line)
	}
	return nil
}

func (a axis) measure(bin string, window time.Duration) ([]string, error) {
	var costs []cost
	for _, v := range a.values {
		p := basePoint
		a.apply(&p, v)
		c, err := p.run(bin, window)
		if err != nil {
			return nil, fmt.Errorf("%s=%g: %w", a.name, v, err)
		}
		fmt.Printf("| %s | %g | %.3f | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f |\n",
			a.name, v, c.cpuPercent, c.rssMB, c.logInBytes, c.logOutBytes, c.directoryBytes, c.peerBytes, c.appends)
		costs = append(costs, c)
	}
	return a.fit(costs), nil
}

func (a axis) fit(costs []cost) []string {
	measures := []struct {
		name string
		of   func(cost) float64
	}{
		{"CPU % of a core", func(c cost) float64 { return c.cpuPercent }},
		{"RSS MB", func(c cost) float64 { return c.rssMB }},
		{"control B/s", func(c cost) float64 { return c.logInBytes + c.logOutBytes + c.directoryBytes + c.peerBytes }},
		{"appends/s of all", func(c cost) float64 { return c.appends }},
	}
	var lines []string
	for _, m := range measures {
		var ys []float64
		for _, c := range costs {
			ys = append(ys, m.of(c))
		}
		intercept, slope := stat.LinearRegression(a.values, ys, nil, false)
		r2 := stat.RSquared(a.values, ys, nil, intercept, slope)
		lines = append(lines, fmt.Sprintf("| %s | %s | %.4g | %.4g | %.3f |", a.name, m.name, intercept, slope, r2))
	}
	return lines
}

// run measures the point with newly started processes and stops them.
func (p point) run(bin string, window time.Duration) (cost, error) {
	l, err := lab.New(bin)
	if err != nil {
		return cost{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout+window)
	defer cancel()
	c, err := p.measure(ctx, l, window)
	if closed := l.Close(); err == nil {
		err = closed
	}
	return c, err
}

func (p point) measure(ctx context.Context, l *lab.Lab, window time.Duration) (cost, error) {
	s, err := p.setUp(ctx, l)
	if err != nil {
		return cost{}, err
	}
	return s.measureCost(ctx, window)
}
