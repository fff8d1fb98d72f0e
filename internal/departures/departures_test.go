package departures

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/platform"
)

func TestLeavingSignals(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	leaving := []platform.Listing{{Instance: "i", Leaving: true}}
	staying := []platform.Listing{{Instance: "i"}}
	cases := []struct {
		name   string
		signal func(s *Set)
		after  time.Duration
		want   bool
	}{
		{"no signal", func(s *Set) { s.RecordList(staying, start) }, 0, false},
		{"listed", func(s *Set) { s.RecordList(leaving, start) }, 0, true},
		{"its own answer first", func(s *Set) {
			s.RecordAnswer("i", true, start)
			s.RecordList(staying, start)
		}, time.Second, true},
		{"lists out of order", func(s *Set) {
			s.RecordList(leaving, start)
			s.RecordList(staying, start.Add(time.Second))
			s.RecordList(nil, start.Add(2*time.Second))
			s.RecordAnswer("i", false, start.Add(3*time.Second))
		}, 4 * time.Second, true},
		{"empty list", func(s *Set) { s.RecordList(nil, start) }, 0, false},
		{"signals have ended", func(s *Set) {
			s.RecordList(leaving, start)
			s.RecordList(staying, start.Add(signalLifetime))
		}, signalLifetime, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			c.signal(s)
			is.Equal(s.Has("i", start.Add(c.after)), c.want)
		})
	}
}

func TestPeerReportsAreNotRelayed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := New()
	s.RecordAnswer("own", true, now)
	s.RecordPeerReport("peers", now)
	is.True(s.Has("own", now) && s.Has("peers", now))
	is.Equal(s.LocalReports(now), []string{"own"})
	is.Equal(len(s.LocalReports(now.Add(signalLifetime))), 0)
	is.True(!s.Has("peers", now.Add(signalLifetime)))
}
