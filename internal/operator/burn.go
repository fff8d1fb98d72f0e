package operator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/status"
)

// BurnReport is the burn of all services, from the counts of all daemons.
type BurnReport struct {
	burn.Report
	// Daemons is the number of daemons queried. Missing lists the instances
	// whose daemon didn't answer: the report lacks the counts that these
	// haven't written to the log yet, those of the last minute or so.
	Daemons int      `json:"daemons"`
	Missing []string `json:"missing"`
}

// BurnAnswer is one daemon's answer to a query for its counts.
type BurnAnswer struct {
	Burn status.Burn
	Err  error
}

// FetchBurn queries all daemons concurrently for their counts. The answers are
// in the order of members.
func FetchBurn(ctx context.Context, client *http.Client, members []status.Member) []BurnAnswer {
	answers := make([]BurnAnswer, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			answers[i].Err = getJSON(ctx, client, "http://"+m.OpsAddr+"/v1/burn", &answers[i].Burn)
		})
	}
	wg.Wait()
	return answers
}

// NewBurnReport merges the counts in the log with those that daemons haven't
// written to it yet. The log's counts come from snap, which may be nil, or from
// a daemon that has read further. Answers are in the order of members.
func NewBurnReport(members []status.Member, answers []BurnAnswer, snap *controlstate.Snapshot, now time.Time) BurnReport {
	history, services, nextOffset := burn.NewHistory(), map[string]configuration.Service{}, int64(-1)
	if snap != nil {
		history, services, nextOffset = snap.Burn, snap.Document.Services, int64(snap.Next)
	}
	r := BurnReport{Daemons: len(members)}
	var pending []record.BurnCount
	for i, a := range answers {
		if a.Err != nil {
			r.Missing = append(r.Missing, members[i].Instance)
			continue
		}
		pending = append(pending, a.Burn.Pending...)
		if a.Burn.Next > nextOffset {
			history, services, nextOffset = burn.Restore(a.Burn.Folded), a.Burn.Services, a.Burn.Next
		}
	}
	known := func(service string) bool { _, ok := services[service]; return ok }
	at := now.Unix()
	history = history.Add(record.Burn{Start: at, End: at, Counts: pending}, known)
	r.Report = burn.NewReport(history, services, now)
	return r
}
