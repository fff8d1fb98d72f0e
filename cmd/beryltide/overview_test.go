package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/operator"
	"github.com/beryltide/beryltide/internal/status"
)

// Long names, many data centres and the hints must fit the text's width, and the
// output must hold no colour sequences if it isn't a terminal.
func TestStatusFitsTheWidth(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("n", 63)
	s := status.Status{Ready: true, Revision: 12, Next: 1 << 40, LogAge: 1e9}
	for i := range 7 {
		dc := fmt.Sprintf("%s%d", long[:62], i)
		s.DataCentres = append(s.DataCentres, status.DataCentre{Name: dc})
		s.Instances = append(s.Instances, status.Instance{Name: long, DataCentre: dc, Pool: long, Phase: "draining", Wave: "wave"})
	}
	s.Teams = []status.Team{{Name: long, Share: 1e-5, Limit: 1, Granted: 2, Running: 1e6, Waiting: 1e6}}
	members := []status.Member{{Instance: long, DataCentre: long}, {Instance: "gone", OpsAddr: "10.0.0.1:9000"}, {Instance: "late"}}
	late := s
	late.Revision, late.Next = 11, 5
	o := operator.NewOverview(members, []operator.StatusAnswer{{Status: s}, {Err: errors.New("refused")}, {Status: late}})
	var out bytes.Buffer
	(&tool{out: &out}).printOverview(o)
	text := out.String()
	for line := range strings.Lines(text) {
		is.True(utf8.RuneCountInString(strings.TrimRight(line, "\n")) <= textWidth) // line fits
	}
	is.True(!strings.Contains(text, "\x1b"))
	for _, want := range []string{"gone doesn't answer", "late is at revision 11 of 12", "no serving instance", "lowered limit", "wave wave"} {
		is.True(strings.Contains(strings.ReplaceAll(text, "\n  ", " "), want)) // hint is there
	}
}
