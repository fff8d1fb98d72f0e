package matrix

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

var (
	errLogDown   = errors.New("log is down")
	errReplyLost = errors.New("reply from the log is lost")
)

// sharedLog is the log service of one cell.
type sharedLog struct {
	mu      sync.Mutex
	streams map[platform.Stream]*sharedStream
	// retained is the number of control records that the log retains; zero
	// retains all.
	retained int
	// down fails all calls; loseReplies fails appends after they took effect.
	down        bool
	loseReplies bool
	// changed is closed and replaced at each append and each change of a fault.
	changed chan struct{}
}

type sharedStream struct {
	oldest  record.Offset
	entries [][]byte
}

func newSharedLog() *sharedLog {
	return &sharedLog{streams: map[platform.Stream]*sharedStream{}, changed: make(chan struct{})}
}

// set changes the faults and wakes blocked reads.
func (l *sharedLog) set(change func(l *sharedLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	l.notifyReaders()
}

func (l *sharedLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *sharedLog) stream(s platform.Stream) *sharedStream {
	st, ok := l.streams[s]
	if !ok {
		st = &sharedStream{}
		l.streams[s] = st
	}
	return st
}

func (l *sharedLog) append(s platform.Stream, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errLogDown
	}
	st := l.stream(s)
	st.entries = append(st.entries, data)
	if s == platform.StreamControl && l.retained > 0 {
		l.trim(st, len(st.entries)-l.retained)
	}
	l.notifyReaders()
	if l.loseReplies {
		return errReplyLost
	}
	return nil
}

func (l *sharedLog) trim(st *sharedStream, n int) {
	if n <= 0 {
		return
	}
	st.entries = st.entries[n:]
	st.oldest += record.Offset(n)
}

// read returns the available entries, and a channel that is closed at the next
// change.
func (l *sharedLog) read(s platform.Stream, from record.Offset, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Batch{}, l.changed, errLogDown
	}
	st := l.stream(s)
	b := platform.Batch{Oldest: st.oldest, Head: st.oldest + record.Offset(len(st.entries))}
	if from < b.Oldest {
		return b, l.changed, platform.ErrTrimmed
	}
	for at := from; at < b.Head && len(b.Entries) < limit; at++ {
		b.Entries = append(b.Entries, platform.Entry{Offset: at, Data: st.entries[at-st.oldest]})
	}
	return b, l.changed, nil
}

// logPort is the log as seen from one process. It implements platform.Log.
type logPort struct {
	log *sharedLog
	mu  sync.Mutex
	// cut is closed while the process can't reach the log.
	cut chan struct{}
}

func newLogPort(l *sharedLog) *logPort { return &logPort{log: l, cut: make(chan struct{})} }

func (p *logPort) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		close(p.cut)
	} else {
		p.cut = make(chan struct{})
	}
}

func (p *logPort) cutSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// Append implements platform.Log. While the log is cut off, it blocks until ctx
// ends.
func (p *logPort) Append(ctx context.Context, s platform.Stream, data []byte) error {
	select {
	case <-p.cutSignal():
		<-ctx.Done()
		return ctx.Err()
	default:
		return p.log.append(s, data)
	}
}

// Read implements platform.Log. While the log is cut off, it blocks until ctx
// ends.
func (p *logPort) Read(ctx context.Context, s platform.Stream, from record.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		select {
		case <-p.cutSignal():
			<-ctx.Done()
			return platform.Batch{}, ctx.Err()
		default:
		}
		b, changed, err := p.log.read(s, from, limit)
		if err != nil || len(b.Entries) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-p.cutSignal():
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

// daemonRun is one run of a daemon. Once it is killed, its calls have no
// effect.
type daemonRun struct {
	killed atomic.Bool
	log    *logPort
	done   chan struct{}
	stop   context.CancelFunc
}

// runBackends is the backend servers as seen from one run of a daemon.
type runBackends struct {
	*backendPort
	run *daemonRun
}

func (b runBackends) Run(ctx context.Context, addr string, t platform.Task) (platform.Answer, error) {
	if b.run.killed.Load() {
		<-ctx.Done()
		return platform.Answer{}, verdict.New(verdict.NotRun, verdict.CodeCancelled, "daemon was killed")
	}
	return b.backendPort.Run(ctx, addr, t)
}

// directoryPort lists a fixed set of instances. It implements
// platform.Directory.
type directoryPort struct {
	mu        sync.Mutex
	instances []platform.Listing
}

func (d *directoryPort) List(context.Context) ([]platform.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances, nil
}

func (d *directoryPort) Reboot(context.Context, string, string) error { return nil }

// taskStart records a task's start at a backend server.
type taskStart struct {
	at         time.Time
	dataCentre string
	team       string
	queue      string
	body       string
}

// backendPort runs the tasks of all backend servers. It implements
// platform.Backends.
type backendPort struct {
	dataCentreOf map[string]string
	slots        int
	runTime      time.Duration

	mu            sync.Mutex
	starts        []taskStart
	running       map[string]int
	runningByTeam map[string]int
	peakByTeam    map[string]int
}

func (b *backendPort) Run(ctx context.Context, addr string, t platform.Task) (platform.Answer, error) {
	if !b.startTask(addr, t) {
		return platform.Answer{}, verdict.New(verdict.NotRun, verdict.CodeBackendRefused, "no free slot, or start deadline passed")
	}
	startedAt := time.Now()
	timer := time.NewTimer(b.runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		time.AfterFunc(b.runTime-time.Since(startedAt), func() { b.endTask(addr, t.Team) })
		return platform.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeBackendLost, "connection was cut")
	}
	b.endTask(addr, t.Team)
	return platform.Answer{Status: 200, Body: t.Body, Instance: addr}, nil
}

func (b *backendPort) startTask(addr string, t platform.Task) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.running[addr] >= b.slots || now.After(t.StartBefore) {
		return false
	}
	b.running[addr]++
	b.runningByTeam[t.Team]++
	b.peakByTeam[t.Team] = max(b.peakByTeam[t.Team], b.runningByTeam[t.Team])
	b.starts = append(b.starts, taskStart{now, b.dataCentreOf[addr], t.Team, t.Queue, string(t.Body)})
	return true
}

func (b *backendPort) endTask(addr, team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[addr]--
	b.runningByTeam[team]--
}

func (b *backendPort) Stop(context.Context, string, string) (bool, error) { return false, nil }

func (b *backendPort) Usage(context.Context, string) (platform.Usage, error) {
	return platform.Usage{Slots: b.slots}, nil
}
