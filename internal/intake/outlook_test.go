package intake

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/shortage"
	"github.com/beryltide/beryltide/internal/store"
)

// fakeOwner answers the calls of admission for all units.
type fakeOwner struct {
	outlook shortage.Outlook
	age     time.Duration
	code    ownerrpc.Code
	// silent owners don't answer.
	silent  atomic.Bool
	stored  bool
	fetches atomic.Int32
	asked   atomic.Int32
}

func (f *fakeOwner) Outlook(_ ownerrpc.OutlookRequest, reply *ownerrpc.OutlookReply) error {
	f.fetches.Add(1)
	if f.silent.Load() {
		time.Sleep(time.Hour)
	}
	*reply = ownerrpc.OutlookReply{Code: f.code, Outlook: f.outlook, Age: f.age}
	return nil
}

func (f *fakeOwner) Stored(req ownerrpc.StoredRequest, reply *ownerrpc.StoredReply) error {
	f.asked.Add(1)
	if f.silent.Load() {
		time.Sleep(time.Hour)
	}
	reply.Code = f.code
	for range req.Submissions {
		reply.Stored = append(reply.Stored, f.stored)
	}
	return nil
}

// start serves the owner and joins it to the owners of the store.
func (f *fakeOwner) start(t *testing.T, s *memstore.Store) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := rpc.NewServer()
	if err := server.RegisterName("Owner", f); err != nil {
		t.Fatal(err)
	}
	go server.Accept(listener)
	_, err = s.Client().Join(context.Background(), store.Join{
		Group: "owners", Member: listener.Addr().String() + "#1#1", Topics: []string{ownership.Topic}, TTL: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
}

var shortOutlook = shortage.Outlook{Short: true, Cores: 100, Levels: []shortage.Level{{Rank: -1000, Work: 4000}, {Late: true, Rank: -1000, Work: 8000}}}

var testQueue = &catalog.Queue{Name: "q", Pool: "p", Stretch: 2, TargetLatency: time.Second}

func timedSubmission() *job.Submission {
	sub := submission()
	sub.Steps = []job.Step{{Count: 8, Need: job.Resources{CPU: 6200}, Estimate: 640 * time.Millisecond}}
	sub.AcceptedAt = time.Now().UnixMilli()
	return sub
}

// admitting returns a service that has got an answer of the owner, if there is one.
func admitting(t *testing.T, f *fakeOwner, s *memstore.Store) *Service {
	f.start(t, s)
	service := newService(s.Client())
	if service.Admit(t.Context(), testQueue, timedSubmission()) != nil {
		t.Fatal("refused without an outlook")
	}
	p, _ := service.outlooks.byPool.Load(testQueue.Pool)
	for p.(*poolOutlook).fetching.Load() {
		time.Sleep(time.Millisecond)
	}
	return service
}

// A job without value when it could complete is refused at once, with a time to return,
// and isn't stored anywhere: callers rely on it never running.
func TestJobWithoutValueIsRefusedAndNotStored(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	f := &fakeOwner{outlook: shortOutlook}
	service := admitting(t, f, s)
	counted := ""
	service.OnNoCapacity = func(queue string) { counted = queue }
	delays := map[time.Duration]bool{}
	for range 20 {
		begin := time.Now()
		err := service.Admit(t.Context(), testQueue, timedSubmission())
		is.True(errors.Is(err, ErrNotRun))
		var refused *NoCapacityError
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter >= minRetryAfter)
		is.True(time.Since(begin) < storedTimeout)
		delays[refused.RetryAfter.Round(time.Second)] = true
	}
	is.True(len(delays) > 2) // callers don't return together, also in whole seconds
	is.Equal(counted, "q")
	is.True(!stored(t, s))
	is.Equal(len(service.OutlookAges()), 1)
}

// The submission of an ID that may be stored already is never refused: the job could start
// after the refusal. So is every one whose owner doesn't say.
func TestSubmissionThatMayBeStoredIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*fakeOwner, *memstore.Client)
	}{
		{"stored", func(f *fakeOwner, _ *memstore.Client) { f.stored = true }},
		{"the owner doesn't answer", func(f *fakeOwner, _ *memstore.Client) { f.silent.Store(true) }},
		{"another daemon has the unit", func(f *fakeOwner, _ *memstore.Client) { f.code = ownerrpc.NotOwner }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memstore.New(4)
			f := &fakeOwner{outlook: shortOutlook}
			service := admitting(t, f, s)
			c.change(f, nil)
			is.NoErr(service.Admit(t.Context(), testQueue, timedSubmission()))
			is.True(f.asked.Load() > 0)
		})
	}
	t.Run("the store is slow", func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		f := &fakeOwner{outlook: shortOutlook}
		service := admitting(t, f, s)
		service.health(1).MarkSlow()
		is.NoErr(service.Admit(t.Context(), testQueue, timedSubmission()))
	})
}

// Without an outlook, or with an old one, submissions are accepted as before, and none of
// them waits for the owner: when it doesn't answer, during a takeover, and when its outlook
// is no longer renewed.
func TestOutlookFailuresRefuseNothing(t *testing.T) {
	accepted := func(t *testing.T, service *Service) {
		is := is.New(t)
		begin := time.Now()
		is.NoErr(service.Admit(t.Context(), testQueue, timedSubmission()))
		is.True(time.Since(begin) < storedTimeout) // no call was waited for
	}
	for _, c := range []struct {
		name  string
		owner *fakeOwner
	}{
		{"not ready after a takeover", &fakeOwner{outlook: shortOutlook, code: ownerrpc.NotReady}},
		{"old outlook", &fakeOwner{outlook: shortOutlook, age: maxOutlookAge}},
		{"not short", &fakeOwner{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			accepted(t, admitting(t, c.owner, memstore.New(4)))
		})
	}
	t.Run("silent", func(t *testing.T) {
		f := &fakeOwner{outlook: shortOutlook}
		f.silent.Store(true)
		accepted(t, admitting(t, f, memstore.New(4)))
	})
	t.Run("no owner", func(t *testing.T) {
		service := newService(memstore.New(4).Client())
		accepted(t, service)
		accepted(t, service)
	})
	t.Run("silent after an outlook", func(t *testing.T) {
		is := is.New(t)
		f := &fakeOwner{outlook: shortOutlook}
		service := admitting(t, f, memstore.New(4))
		is.True(service.Admit(t.Context(), testQueue, timedSubmission()) != nil)
		f.silent.Store(true)
		for range 5 {
			time.Sleep(maxOutlookAge / 4)
			_ = service.Admit(t.Context(), testQueue, timedSubmission())
		}
		accepted(t, service)
	})
}

// What isn't known to be late must not be refused: jobs without an objective, with unknown
// run times, with due times, and long-running ones.
func TestOnlyJobsWithKnownTimesAreRefused(t *testing.T) {
	for name, change := range map[string]func(*catalog.Queue, *job.Submission){
		"no objective":       func(q *catalog.Queue, _ *job.Submission) { q.Stretch, q.TargetLatency = 0, 0 },
		"advised":            func(q *catalog.Queue, _ *job.Submission) { q.Advised = true },
		"unknown run time":   func(_ *catalog.Queue, s *job.Submission) { s.Steps[0].Estimate = 0 },
		"due times":          func(_ *catalog.Queue, s *job.Submission) { s.Occurrences = 2 },
		"long-running":       func(_ *catalog.Queue, s *job.Submission) { s.Steps[0].Lasting = true },
		"backfill":           func(_ *catalog.Queue, s *job.Submission) { s.Steps[0].Fills = true },
		"tasks take longer":  func(q *catalog.Queue, _ *job.Submission) { q.Name = "slow" },
		"team without tasks": func(_ *catalog.Queue, s *job.Submission) { s.Team = "cold" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := shortOutlook
			o.Queues = map[string]shortage.QueueOutlook{"slow": {LongestTask: 10 * time.Second}}
			o.Teams = map[string]shortage.TeamOutlook{"hot": {Share: 1, Levels: o.Levels}}
			service := admitting(t, &fakeOwner{outlook: o}, memstore.New(4))
			q, sub := *testQueue, timedSubmission()
			sub.Team = "hot"
			is.True(service.Admit(t.Context(), &q, sub) != nil)
			change(&q, sub)
			is.NoErr(service.Admit(t.Context(), &q, sub))
		})
	}
}

// A daemon of a fifth of a core must not fetch an outlook for each submission.
func TestOutlooksAreFetchedAtMostTwiceASecond(t *testing.T) {
	for _, c := range []struct {
		name    string
		outlook shortage.Outlook
		most    int32
	}{{"short", shortOutlook, 4}, {"not short", shortage.Outlook{}, 2}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeOwner{outlook: c.outlook}
			service := admitting(t, f, memstore.New(4))
			for begin := time.Now(); time.Since(begin) < 1400*time.Millisecond; {
				_ = service.Admit(t.Context(), testQueue, timedSubmission())
				time.Sleep(time.Millisecond)
			}
			is.True(f.fetches.Load() >= 2)
			is.True(f.fetches.Load() <= c.most)
		})
	}
}

// The check is on the path of each submission.
func BenchmarkEstimate(b *testing.B) {
	o := shortOutlook
	for n := range 64 {
		o.Levels = append(o.Levels, shortage.Level{Late: true, Rank: float64(n), Work: 1e4})
	}
	sub := timedSubmission()
	sub.Steps = append(sub.Steps, sub.Steps[0])
	for b.Loop() {
		_ = o.Estimate(requestOf(testQueue, sub, &o))
	}
}
