// Command gang plays the case of a gang of which one server fails several members.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"beryltide-review/standin"
)

const (
	host        = "pule25.example"
	prefix      = "/puxa400/"
	job         = "5c0e7a21d94b36f8"
	members     = 4
	maxAttempts = 4
	servers     = 12
	taskTime    = time.Second
	// gangTimeout is gang_timeout_ms.
	gangTimeout = 3 * time.Second
)

// gang is one run of the job's gang.
type gang struct {
	tasks map[string]*standin.Server
}

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	var mu sync.Mutex
	runs := map[int]*gang{}
	grey := ""
	for i := range servers {
		s := &standin.Server{
			ID: fmt.Sprintf("i-7f3a91%02x", i), Machine: fmt.Sprintf("m-0a3%02x", i), Service: "huvo11a", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
		}
		s.Work = func(task string, _ int) (time.Duration, string) {
			mu.Lock()
			defer mu.Unlock()
			if standin.Trouble() && strings.HasPrefix(task, job) && (grey == "" || grey == s.ID) {
				// The first server that gets a member fails all that it starts.
				grey = s.ID
				return time.Nanosecond, "failed"
			}
			return 0, ""
		}
		s.OnStart = func(r *standin.Run) {
			mu.Lock()
			defer mu.Unlock()
			g := runs[r.Number]
			if g == nil {
				g = &gang{tasks: map[string]*standin.Server{}}
				runs[r.Number] = g
			}
			g.tasks[r.Task] = s
			task, number := r.Task, r.Number
			if len(g.tasks) < members {
				time.AfterFunc(gangTimeout, func() {
					mu.Lock()
					present := len(g.tasks)
					mu.Unlock()
					if present < members {
						s.Finish(task, number, "alone")
					}
				})
				return
			}
			time.AfterFunc(taskTime, func() {
				for t, at := range g.tasks {
					at.Finish(t, number, "done")
				}
			})
		}
		if _, err := site.AddServer(s); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	site.Configure([]string{"huvo11a"}, standin.Route{Name: "r-a", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: maxAttempts})
	for i := range 2 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem_mb":64,"est_runtime_ms":1000,"gang_scheduled":true}]}`, members)
	if status, _ := site.Call(site.Daemons[0], "POST", host, prefix+job, body); status != 200 {
		return standin.Fail(site, "the job isn't accepted")
	}
	state := ""
	standin.Wait(15*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		_, state = site.Call(site.Daemons[0], "GET", host, prefix+job, "")
		return state == `{"state":"completed"}` || state == `{"state":"failed"}`
	})
	highest, failed := 0, 0
	for _, r := range site.Ledger.Runs() {
		highest = max(highest, r.Number)
		if r.How == "failed" {
			failed++
		}
	}
	fmt.Printf("the job's state is %s after %d runs of the gang (%d ends 'failed', all on one server); max_attempts is %d, %d of %d servers are sound\n", state, highest, failed, maxAttempts, servers-1, servers)
	if state == `{"state":"failed"}` && highest < maxAttempts {
		site.Record.Add("LOST: %s is shown as failed after %d runs of its gang, and max_attempts is %d", job, highest, maxAttempts)
		return standin.Broken
	}
	if state != `{"state":"completed"}` {
		return standin.Fail(site, "the job isn't completed")
	}
	return standin.Held
}
