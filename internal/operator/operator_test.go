package operator

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/replay"
	"github.com/beryltide/beryltide/internal/standin"
)

func documentWithTeam(name string, limit int) *configuration.Document {
	return &configuration.Document{Teams: map[string]configuration.Team{name: {Share: 1, Limit: limit}}}
}

func connect(l *standin.Log) *logclient.Client {
	return logclient.New("http://log", standin.Transport{Handler: l})
}

// hookedLog calls beforeAppend once, before the first append is sent, and afterAppend
// once, after its answer.
type hookedLog struct {
	platform.Log
	beforeAppend func()
	afterAppend  func()
}

func (l *hookedLog) Append(ctx context.Context, s platform.Stream, data []byte) error {
	if l.beforeAppend != nil {
		hook := l.beforeAppend
		l.beforeAppend = nil
		hook()
	}
	err := l.Log.Append(ctx, s, data)
	if l.afterAppend != nil {
		hook := l.afterAppend
		l.afterAppend = nil
		hook()
	}
	return err
}

func TestApplyRejectsTheSlowerOfTwoOperators(t *testing.T) {
	is := is.New(t)
	log := connect(standin.NewLog(0))
	ctx := t.Context()
	hooked := &hookedLog{Log: log, beforeAppend: func() {
		_, err := Apply(ctx, log, Change{Document: documentWithTeam("a", 1), Base: AnyBase})
		is.NoErr(err)
	}}
	_, err := Apply(ctx, hooked, Change{Document: documentWithTeam("b", 2), Base: AnyBase})
	is.True(errors.Is(err, configuration.ErrStale))
	state, err := replay.State(ctx, log)
	is.NoErr(err)
	is.Equal(state.Snapshot().Revision, uint64(1))
	is.Equal(state.Snapshot().Document.Teams, documentWithTeam("a", 1).Teams)
}

func TestApplyRejectsAStaleBase(t *testing.T) {
	is := is.New(t)
	log := connect(standin.NewLog(0))
	_, err := Apply(t.Context(), log, Change{Document: documentWithTeam("a", 1), Base: 0})
	is.NoErr(err)
	_, err = Apply(t.Context(), log, Change{Document: documentWithTeam("a", 2), Base: 0})
	is.True(errors.Is(err, configuration.ErrStale))
	again, err := Apply(t.Context(), log, Change{Document: documentWithTeam("a", 1), Base: 1})
	is.NoErr(err)
	is.True(again.Unchanged)
}

// The log fails while a change is being applied. The change becomes active
// exactly once, or Apply reports that its outcome is unknown.
func TestApplyDuringLogFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		unknown bool
	}{
		{"reply lost", standin.Fault{Kind: standin.KindReplyLost, Count: 1}, false},
		{"many replies lost", standin.Fault{Kind: standin.KindReplyLost, Count: 7}, false},
		{"down for five calls", standin.Fault{Kind: standin.KindDown, Count: 5}, false},
		{"late", standin.Fault{Kind: standin.KindLate, DelayMS: 4000, Count: 3}, false},
		{"down permanently", standin.Fault{Kind: standin.KindDown}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := standin.NewLog(0)
				log := connect(l)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				hooked := &hookedLog{Log: log, beforeAppend: func() { l.SetFault(c.fault) }}
				applied, err := Apply(ctx, hooked, Change{Document: documentWithTeam("a", 1), Base: AnyBase})
				l.SetFault(standin.Fault{Kind: standin.KindNone})
				state, readErr := replay.State(t.Context(), log)
				is.NoErr(readErr)
				if c.unknown {
					is.True(errors.Is(err, ErrUnknown))
					return
				}
				is.NoErr(err)
				is.Equal(applied.Revision, uint64(1))
				is.Equal(state.Snapshot().Revision, uint64(1))
			})
		})
	}
}

// applySix applies six changes, each with a checkpoint.
func applySix(t *testing.T, log platform.Log) {
	is := is.New(t)
	ctx := t.Context()
	for limit := 1; limit <= 6; limit++ {
		applied, err := Apply(ctx, log, Change{Document: documentWithTeam("a", limit), Base: AnyBase})
		is.NoErr(err)
		data, err := applied.State.Checkpoint()
		is.NoErr(err)
		is.NoErr(log.Append(ctx, platform.StreamCheckpoint, data))
	}
}

// A change that was accepted must not be reported as stale. That happened when other
// changes followed and the log dropped its record before its author had read it: the
// checkpoint that the author went on from names only the newest change.
func TestApplyOfADroppedRecordIsUnknown(t *testing.T) {
	is := is.New(t)
	log := connect(standin.NewLog(3))
	hooked := &hookedLog{Log: log, afterAppend: func() { applySix(t, log) }}
	_, err := Apply(t.Context(), hooked, Change{Document: documentWithTeam("b", 2), Base: AnyBase})
	is.True(errors.Is(err, ErrUnknown))
	state, err := replay.State(t.Context(), log)
	is.NoErr(err)
	is.Equal(state.Snapshot().Revision, uint64(7)) // the change was accepted, then replaced
}

func TestReplayStartsFromTheNewestCheckpoint(t *testing.T) {
	is := is.New(t)
	log := connect(standin.NewLog(3))
	ctx := t.Context()
	applySix(t, log)
	is.NoErr(log.Append(ctx, platform.StreamCheckpoint, []byte("corrupt")))
	state, err := replay.State(ctx, log)
	is.NoErr(err)
	is.Equal(state.Snapshot().Revision, uint64(6))
}

func TestWaitForRevisionEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		transport := standin.Transport{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasPrefix(r.Host, "gone"):
				panic(http.ErrAbortHandler)
			case strings.HasPrefix(r.Host, "quick") && time.Since(start) > time.Second:
				_, _ = w.Write([]byte(`{"revision": 2}`))
			default:
				_, _ = w.Write([]byte(`{"revision": 1}`))
			}
		})}
		var members []*member.Member
		for _, name := range []string{"gone", "quick", "slow"} {
			members = append(members, &member.Member{ID: record.MemberID(name), Instance: name, OpsAddr: name + ":1"})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		got := WaitForRevision(ctx, &http.Client{Transport: transport}, members, 2)
		is.Equal(time.Since(start), 5*time.Second)
		is.True(got[0].Error != "")
		is.True(!got[1].Behind(2))
		is.Equal(got[2].Revision, uint64(1))
		is.True(got[2].Behind(2))
	})
}

func TestDescribeListsEachDifference(t *testing.T) {
	is := is.New(t)
	from := &configuration.Document{Teams: map[string]configuration.Team{"a": {Share: 1, Limit: 1}, "b": {Share: 1}}}
	to := &configuration.Document{Teams: map[string]configuration.Team{"a": {Share: 1, Limit: 2}, "c": {Share: 1}}}
	var lines []string
	for _, d := range Describe(from, to) {
		lines = append(lines, d.String())
	}
	is.Equal(lines, []string{
		"~ teams.a.limit: 1 -> 2",
		"- teams.b",
		`+ teams.c {"limit":0,"share":1}`,
	})
}
