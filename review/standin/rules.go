package standin

import (
	"fmt"
)

// StartsAfterDone returns the starts of tasks of which a run had ended 'done' before,
// with an end that was acknowledged then or later.
func StartsAfterDone(runs []Run) []string {
	var out []string
	first := map[string]Run{}
	for _, r := range runs {
		if r.How == "done" && !r.Acked.IsZero() && (first[r.Task].End.IsZero() || r.End.Before(first[r.Task].End)) {
			first[r.Task] = r
		}
	}
	for _, r := range runs {
		if d, done := first[r.Task]; done && r.Start.After(d.End) {
			out = append(out, fmt.Sprintf("%s run %d starts on %s %d ms after run %d has ended done on %s", r.Task, r.Number, r.Server, r.Start.Sub(d.End).Milliseconds(), d.Number, d.Server))
		}
	}
	return out
}

// Overlaps returns the pairs of runs of one task that ran at the same time on servers
// that were up.
func Overlaps(runs []Run) []string {
	var out []string
	byTask := map[string][]Run{}
	for _, r := range runs {
		for _, o := range byTask[r.Task] {
			if o.End.IsZero() || o.End.After(r.Start) {
				out = append(out, fmt.Sprintf("%s runs as run %d on %s and as run %d on %s at the same time", r.Task, o.Number, o.Server, r.Number, r.Server))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return out
}
