// Command soak plays jobs of kinds that the site files don't have (gangs, times, limits
// per server) while daemons are killed or stopped and servers restart under their ids.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"beryltide-review/standin"
)

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
	length = 60 * time.Second
)

type jobInfo struct {
	kind    string
	spec    string
	members int
	due     time.Time
	every   time.Duration
	state   string
}

type gangRun struct {
	at      map[string]*standin.Server
	over    bool
	present bool
}

var (
	mu    sync.Mutex
	jobs  = map[string]*jobInfo{}
	gangs = map[string]*gangRun{}

	proxies []*standin.Proxy
)

func main() { os.Exit(run()) }

// isGang reports whether a task of a job of kind gang belongs to its first step.
func isGang(task string) bool { return strings.Split(task, ".")[2] == "0" }

func gangKey(task string, run int) string {
	return task[:strings.LastIndexByte(task, '.')] + "#" + strconv.Itoa(run)
}

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	for i := range 12 {
		s := &standin.Server{
			ID: fmt.Sprintf("i-7f3a91%02x", i), Machine: fmt.Sprintf("m-0a3%02x", i), Service: "huvo11a", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
		}
		s.Work = func(task string, _ int) (time.Duration, string) {
			mu.Lock()
			defer mu.Unlock()
			j := jobs[task[:16]]
			switch {
			case j == nil || j.kind == "lasting":
				return 0, ""
			case j.kind == "gang" && isGang(task):
				return 0, ""
			}
			return time.Duration(400+len(task)*7%13*100) * time.Millisecond, "done"
		}
		s.OnStart = func(r *standin.Run) { gangStart(s, r) }
		s.OnEnd = gangEnd
		proxy, err := site.AddServer(s)
		if err != nil {
			return standin.Fail(site, err.Error())
		}
		proxies = append(proxies, proxy)
	}
	site.Configure([]string{"huvo11a"}, standin.Route{Name: "r-a", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: 4})
	for i := range 3 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	wg.Go(func() { clients(site, end) })
	for time.Now().Before(end) {
		time.Sleep(time.Duration(2000+rnd.IntN(3000)) * time.Millisecond)
		trouble(site, rnd)
	}
	wg.Wait()
	time.Sleep(16 * time.Second)
	return check(site)
}

func gangStart(s *standin.Server, r *standin.Run) {
	mu.Lock()
	defer mu.Unlock()
	j := jobs[r.Task[:16]]
	if j == nil || j.kind != "gang" || !isGang(r.Task) {
		return
	}
	key := gangKey(r.Task, r.Number)
	g := gangs[key]
	if g == nil {
		g = &gangRun{at: map[string]*standin.Server{}}
		gangs[key] = g
	}
	g.at[r.Task] = s
	task, number := r.Task, r.Number
	if len(g.at) < j.members {
		time.AfterFunc(3*time.Second, func() {
			mu.Lock()
			alone := !g.present
			mu.Unlock()
			if alone {
				s.Finish(task, number, "alone")
			}
		})
		return
	}
	g.present = true
	time.AfterFunc(1200*time.Millisecond, func() { finishGang(g, number, "done") })
}

func finishGang(g *gangRun, number int, how string) {
	mu.Lock()
	if g.over {
		mu.Unlock()
		return
	}
	g.over = true
	at := map[string]*standin.Server{}
	for t, s := range g.at {
		at[t] = s
	}
	mu.Unlock()
	for t, s := range at {
		s.Finish(t, number, how)
	}
}

func gangEnd(r standin.Run) {
	mu.Lock()
	g := gangs[gangKey(r.Task, r.Number)]
	ok := g != nil && r.How != "done" && g.present
	mu.Unlock()
	if ok {
		finishGang(g, r.Number, "broken")
	}
}

func clients(site *standin.Site, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(n))
		j := &jobInfo{spec: "spec of " + id}
		body := ""
		switch n % 6 {
		case 0, 1:
			j.kind = "plain"
			body = `"steps":[{"count":5,"cpu":800,"mem_mb":200,"est_runtime_ms":700},{"count":4,"cpu":900,"mem_mb":200,"est_runtime_ms":900,"after":[0],"checkpointing":true}]`
		case 2, 3:
			j.kind, j.members = "gang", 4
			body = `"steps":[{"count":4,"cpu":1000,"mem_mb":64,"est_runtime_ms":1200,"gang_scheduled":true,"checkpointing":true},{"count":1,"cpu":100,"mem_mb":64,"after":[0]}]`
		case 4:
			j.kind, j.due, j.every = "timed", time.Now().Add(1500*time.Millisecond), 2*time.Second
			body = fmt.Sprintf(`"max_runs":4,"start_at_ms":%d,"interval_ms":2000,"steps":[{"count":3,"cpu":500,"mem_mb":64,"est_runtime_ms":500}]`, j.due.UnixMilli())
		case 5:
			j.kind = "apart"
			body = `"steps":[{"count":6,"cpu":500,"mem_mb":64,"est_runtime_ms":500,"anti_affinity":1,"checkpointing":true}]`
		}
		mu.Lock()
		jobs[id] = j
		mu.Unlock()
		go func() {
			body = fmt.Sprintf(`{"spec":%q,%s}`, j.spec, body)
			rejected, tries := 0, 0
			for tries = 0; tries < 5; tries++ {
				status, _ := site.Call(site.Daemons[(n+tries)%3], "POST", host, prefix+id, body)
				if status == 200 {
					mu.Lock()
					j.state = "accepted"
					mu.Unlock()
					if n%7 == 0 {
						time.Sleep(3 * time.Second)
						site.Call(site.Daemons[(n+1)%3], "POST", host, prefix+id, body)
					}
					return
				}
				if status == 503 || status == 429 {
					rejected++
				}
				time.Sleep(400 * time.Millisecond)
			}
			if rejected == tries {
				mu.Lock()
				j.state = "rejected"
				mu.Unlock()
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
}

func trouble(site *standin.Site, rnd *rand.Rand) {
	d := site.Daemons[rnd.IntN(len(site.Daemons))]
	switch rnd.IntN(6) {
	case 0:
		site.Record.Add("%s is killed", d.Name)
		d.Kill()
		time.Sleep(time.Second)
		_ = d.Start()
	case 1:
		d.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+rnd.IntN(3500)) * time.Millisecond)
		d.Signal(syscall.SIGCONT)
	case 2:
		s := site.Servers[rnd.IntN(len(site.Servers))]
		s.Crash()
		time.Sleep(time.Duration(50+rnd.IntN(2000)) * time.Millisecond)
		_ = s.Start()
	case 4:
		site.Record.Add("%s is cut off from the store", d.Name)
		d.Store.Cut()
		time.Sleep(time.Duration(500+rnd.IntN(5000)) * time.Millisecond)
		d.Store.Heal()
	case 5:
		n := rnd.IntN(len(proxies))
		site.Record.Add("%s is cut off", site.Servers[n].ID)
		proxies[n].Cut()
		time.Sleep(time.Duration(500+rnd.IntN(5000)) * time.Millisecond)
		proxies[n].Heal()
	case 3:
		d.Signal(syscall.SIGTERM)
		time.Sleep(7 * time.Second)
		d.Kill()
		_ = d.Start()
	}
}

func check(site *standin.Site) int {
	runs := site.Ledger.Runs()
	var bad []string
	bad = append(bad, standin.Overlaps(runs)...)
	single := make([]standin.Run, 0, len(runs))
	mu.Lock()
	for _, r := range runs {
		j := jobs[r.Task[:16]]
		if j == nil || r.Spec != j.spec {
			bad = append(bad, "UNASKED: "+r.Task+" with spec "+r.Spec)
			continue
		}
		if r.Checkpoint != "" && !strings.HasPrefix(r.Checkpoint, r.Task[:strings.LastIndexByte(r.Task, '.')]) {
			bad = append(bad, "UNASKED: "+r.Task+" with checkpoint "+r.Checkpoint)
		}
		if j.state == "rejected" {
			bad = append(bad, "REFUSED: "+r.Task)
		}
		if j.kind == "timed" {
			k, _ := strconv.Atoi(strings.Split(r.Task, ".")[1])
			if early := j.due.Add(time.Duration(k) * j.every).Sub(r.Start); early > 250*time.Millisecond {
				bad = append(bad, fmt.Sprintf("ORDER: %s is %v early", r.Task, early))
			}
		}
		if r.How == "alone" {
			site.Record.Add("alone: %s run %d", r.Task, r.Number)
		}
		single = append(single, r)
	}
	mu.Unlock()
	bad = append(bad, standin.StartsAfterDone(single)...)
	bad = append(bad, apart(single)...)
	open, states := 0, map[string]int{}
	for id, j := range jobs {
		if j.state != "accepted" {
			continue
		}
		status, state := site.Call(site.Daemons[0], "GET", host, prefix+id, "")
		states[strconv.Itoa(status)+state]++
		if state != `{"state":"completed"}` {
			open++
			bad = append(bad, "LOST: "+j.kind+" "+id+" "+state)
		}
	}
	for _, b := range bad {
		site.Record.Add("%s", b)
		fmt.Println(b)
	}
	fmt.Println(len(runs), "runs", len(jobs), "jobs", states, len(bad), "breaks")
	if len(bad) > 0 {
		return standin.Broken
	}
	return standin.Held
}

// apart returns the pairs of tasks of steps with a limit of one that ran on one server
// at the same time.
func apart(runs []standin.Run) []string {
	var out []string
	for i, a := range runs {
		if jobs[a.Task[:16]].kind != "apart" {
			continue
		}
		for _, b := range runs[i+1:] {
			if a.Task[:20] == b.Task[:20] && a.Task != b.Task && a.Server == b.Server && a.Born == b.Born && (a.End.IsZero() || a.End.After(b.Start)) {
				out = append(out, "ROUTE: "+a.Task+" and "+b.Task+" on "+a.Server)
			}
		}
	}
	return out
}
