// Command kind plays the case of backend servers that crash and start again under
// their ids as servers of a smaller kind, while more work waits than fits.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"beryltide-review/standin"
)

const (
	taskTime = 1500 * time.Millisecond
	downTime = 2 * time.Second
	crashes  = 4
	jobs     = 24
	perJob   = 40
	host     = "pule25.example"
	prefix   = "/puxa400/"
)

var (
	large = standin.Resources{CPU: 16000, Memory: 32768}
	small = standin.Resources{CPU: 4000, Memory: 8192}
	need  = standin.Resources{CPU: 1000, Memory: 512}
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	var mu sync.Mutex
	over, unlabelled := 0, 0
	for i := range 6 {
		s := &standin.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Machine: fmt.Sprintf("m-0a3f%d", i), Service: "huvo11a", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i)}, Capacity: large,
			Work: func(string, int) (time.Duration, string) { return taskTime, "done" },
		}
		s.OnStart = func(r *standin.Run) {
			running := s.Running()
			cpu, memory := running*need.CPU, running*need.Memory
			mu.Lock()
			defer mu.Unlock()
			if cpu > s.Capacity.CPU || memory > s.Capacity.Memory {
				over++
				site.Record.Add("LIMIT: %s starts %s, and %d tasks of %d run there: %d of %d thousandths of a core", s.ID, r.Task, running, need.CPU, cpu, s.Capacity.CPU)
			}
			if s.Labels[0] != "a" {
				unlabelled++
				site.Record.Add("ROUTE: %s starts %s, which requires the label a, and has %v", s.ID, r.Task, s.Labels)
			}
		}
		if _, err := site.AddServer(s); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	site.Configure([]string{"huvo11a"}, standin.Route{Name: "r-tyiikdr", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: 4})
	for i := range 2 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	for i := range jobs {
		body := fmt.Sprintf(`{"spec":"order","steps":[{"count":%d,"cpu":%d,"mem_mb":%d,"est_runtime_ms":1500,"requirements":"a"}]}`, perJob, need.CPU, need.Memory)
		if status, _ := site.Call(site.Daemons[i%2], "POST", host, fmt.Sprintf("%s5c0e7a21d94b36%02x", prefix, i), body); status != 200 {
			return standin.Fail(site, "a job isn't accepted")
		}
	}
	if standin.Trouble() {
		for i := range crashes {
			time.Sleep(time.Second)
			s := site.Servers[i]
			s.Crash()
			s.Change(small, []string{"b", s.Labels[1]})
			time.Sleep(downTime)
			if err := s.Start(); err != nil {
				return standin.Fail(site, err.Error())
			}
			site.Record.Add("%s is back with %d thousandths of a core and the label b", s.ID, small.CPU)
		}
	}
	completed := 0
	standin.Wait(40*time.Second, func() bool {
		time.Sleep(time.Second)
		completed = 0
		for i := range jobs {
			if _, state := site.Call(site.Daemons[0], "GET", host, fmt.Sprintf("%s5c0e7a21d94b36%02x", prefix, i), ""); state == `{"state":"completed"}` {
				completed++
			}
		}
		return completed == jobs
	})
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("jobs completed: %d of %d; starts over capacity: %d; starts without the required label: %d\n", completed, jobs, over, unlabelled)
	site.Record.Add("jobs completed: %d of %d; starts over capacity: %d; starts without the required label: %d", completed, jobs, over, unlabelled)
	switch {
	case over > 0 || unlabelled > 0:
		return standin.Broken
	case completed < jobs:
		return standin.Fail(site, "jobs aren't completed")
	}
	return standin.Held
}
