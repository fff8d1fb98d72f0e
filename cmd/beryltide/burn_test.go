package main

import (
	"bytes"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/burn"
	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/status"
)

var burnTime = time.Unix(1_800_000_000, 0)

// sampleReport merges folded history with the counts of two daemons, one of which
// doesn't answer.
func sampleReport() operator.BurnReport {
	known := func(string) bool { return true }
	count := func(good, refused int64) []record.BurnCount {
		return []record.BurnCount{{Service: "proofing", DataCentre: "trd1", Pool: "proofing", Good: good, Refused: refused}}
	}
	folded := burn.NewHistory().Add(record.Burn{End: burnTime.Unix() - 7200, Counts: count(50, 0)}, known)
	answer := operator.BurnAnswer{Burn: status.Burn{
		Next:     9,
		Services: map[string]configuration.Service{"proofing": {AvailabilityObjective: 0.99}},
		Folded:   folded.State(),
		Pending:  count(30, 20),
	}}
	members := []status.Member{{Instance: "entry-1"}, {Instance: "entry-2"}}
	return operator.NewBurnReport(members, []operator.BurnAnswer{answer, {Err: errors.New("refused")}}, nil, burnTime)
}

func TestReportBurnAsText(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	(&tool{out: &out}).printBurn(sampleReport())
	text := out.String()
	for line := range strings.Lines(text) {
		is.True(utf8.RuneCountInString(strings.TrimRight(line, "\n")) <= textWidth) // line fits
	}
	for _, want := range []string{
		"from 1 of 2 daemons",
		"entry-2 didn't answer",
		"good 80, bad 20",
		"5m 40.00, 1h 40.00, 6h 20.00, 3d 20.00",
		"page: over 14.4 in 1h and 5m",
		"proofing in trd1: refused 20",
		"▁·█",
	} {
		is.True(strings.Contains(text, want)) // is in the text
	}
}

func TestReportBurnAsPage(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(renderHTML(&out, sampleReport()))
	page := out.String()
	is.Equal(strings.Count(page, "<rect"), 2)
	is.True(strings.Contains(page, "entry-2 didn&#39;t answer") || strings.Contains(page, "entry-2 didn't answer"))
	for _, link := range []string{"http://", "https://", "src=", "@import", "url("} {
		is.True(!strings.Contains(page, link)) // opens without network access
	}
}
