// Command ends plays the case of a backend server that is cut off from the daemons
// while several hundred tasks end there.
package main

import (
	"fmt"
	"os"
	"time"

	"beryltide-review/standin"
)

const (
	// tasks is the number of tasks of the job. A server's answer lists 500 ends.
	tasks    = 620
	taskTime = 3 * time.Second
	// cutTime is below the 5.5 s for which the site file cuts workers off.
	cutTime = 4500 * time.Millisecond
	job     = "5c0e7a21d94b36f8"
	host    = "pule25.example"
	prefix  = "/puxa400/"
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	var proxies []*standin.Proxy
	for i := range 6 {
		p, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Machine: fmt.Sprintf("m-0a3f%d", i), Service: "runlist", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i)}, Capacity: standin.Resources{CPU: 64000, Memory: 131072},
			Work: func(string, int) (time.Duration, string) { return taskTime, "done" },
		})
		if err != nil {
			return standin.Fail(site, err.Error())
		}
		proxies = append(proxies, p)
	}
	site.Configure([]string{"runlist"}, standin.Route{Name: "r-a", Host: host, Prefix: prefix, Service: "runlist", MaxAttempts: 4})
	for i := range 2 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	body := fmt.Sprintf(`{"spec":"cut list","steps":[{"count":%d,"cpu":100,"mem_mb":100,"est_runtime_ms":3000}]}`, tasks)
	status := 0
	standin.Wait(10*time.Second, func() bool {
		status, _ = site.Call(site.Daemons[0], "POST", host, prefix+job, body)
		return status == 200
	})
	if status != 200 {
		return standin.Fail(site, "the job isn't accepted")
	}
	busiest := -1
	begun := standin.Wait(5*time.Second, func() bool {
		for i, s := range site.Servers {
			if s.RunningCount() > 500 {
				busiest = i
			}
		}
		return len(site.Ledger.Runs()) >= tasks
	})
	if !begun || busiest < 0 {
		return standin.Fail(site, fmt.Sprintf("%d of %d tasks begun, busiest server %d", len(site.Ledger.Runs()), tasks, busiest))
	}
	if standin.Trouble() {
		site.Record.Add("%s is cut off", site.Servers[busiest].ID)
		proxies[busiest].Cut()
		time.Sleep(cutTime)
		proxies[busiest].Heal()
		site.Record.Add("%s is reached again", site.Servers[busiest].ID)
	}
	completed := standin.Wait(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, state := site.Call(site.Daemons[0], "GET", host, prefix+job, "")
		return state == `{"state":"completed"}`
	})
	time.Sleep(5 * time.Second)
	twice := 0
	for _, v := range standin.StartsAfterDone(site.Ledger.Runs()) {
		twice++
		site.Record.Add("TWICE: %s", v)
	}
	site.Record.Add("job shown as completed: %v, runs: %d, starts after an end 'done': %d", completed, len(site.Ledger.Runs()), twice)
	fmt.Printf("completed %v, %d tasks, %d runs, %d starts after a run of the task had ended done\n", completed, tasks, len(site.Ledger.Runs()), twice)
	if twice > 0 {
		return standin.Broken
	}
	if !completed {
		return standin.Fail(site, "the job isn't completed")
	}
	return standin.Held
}
