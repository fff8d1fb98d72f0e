package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/operator"
)

// Sizes of a plot, in units of its view box.
const (
	plotHeight = 120
	barWidth   = 9
	barStep    = 10
	plotTop    = 16.0 // burn rate at the top of a plot
)

//go:embed burn.html
var burnPage string

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bars":    bars,
	"causes":  causes,
	"place":   place,
	"percent": func(f float64) string { return fmt.Sprintf("%.4g%%", f*100) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.2f", f) },
	"time":    func(at int64) string { return time.Unix(at, 0).UTC().Format(time.RFC3339) },
}).Parse(burnPage))

// bar is one hour of a plot. The template reads its fields.
type bar struct {
	X, Y, Height, Width int
	// Over is set if the hour used more than its part of the error budget.
	Over  bool
	Title string
}

// renderHTML writes the report as one page that needs no network.
func renderHTML(w io.Writer, r operator.BurnReport) error {
	return errors.Wrap(burnTemplate.Execute(w, r), "write the report")
}

// bars returns the bars of the hours with requests, of the last chartHours.
func bars(at int64, s burn.ServiceReport) []bar {
	const hour = int64(time.Hour / time.Second)
	first := at/hour - chartHours + 1
	var all []bar
	for _, b := range s.Hours {
		column := b.Start/hour - first
		if column < 0 || column >= chartHours {
			continue
		}
		rate := b.Counts.Rate(s.Objective)
		height := int(min(rate, plotTop) / plotTop * plotHeight)
		all = append(all, bar{
			X:      int(column) * barStep,
			Y:      plotHeight - height,
			Height: max(height, 1),
			Width:  barWidth,
			Over:   rate > 1,
			Title: fmt.Sprintf("%s: burn rate %.2f, good %d, bad %d",
				time.Unix(b.Start, 0).UTC().Format(time.RFC3339), rate, b.Counts.Good, b.Counts.Bad()),
		})
	}
	return all
}
