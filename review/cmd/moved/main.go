// Command moved plays the case of a configuration that sends a queue to another
// service, while a client repeats a request that was accepted before.
package main

import (
	"fmt"
	"os"
	"time"

	"beryltide-review/standin"
)

const (
	taskTime = 4 * time.Second
	host     = "pule25.example"
	prefix   = "/puxa400/"
	// applied is config_apply_ms and a margin.
	applied = 2500 * time.Millisecond
)

// jobs are the jobs of the case: one is sent again, one is asked for, one cancelled.
var jobs = []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa"}

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	for i, service := range []string{"huvo11a", "huvo11a", "kafi81c", "kafi81c"} {
		_, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Machine: fmt.Sprintf("m-0a3f%d", i), Service: service, Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
			Work: func(string, int) (time.Duration, string) { return taskTime, "done" },
		})
		if err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	services := []string{"huvo11a", "kafi81c"}
	route := standin.Route{Name: "r-tyiikdr", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: 4}
	site.Configure(services, route)
	for i := range 2 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	body := `{"spec":"order","steps":[{"count":2,"cpu":1000,"mem_mb":256,"est_runtime_ms":4000}]}`
	for _, id := range jobs {
		if status, _ := site.Call(site.Daemons[0], "POST", host, prefix+id, body); status != 200 {
			return standin.Fail(site, "a job isn't accepted")
		}
	}
	if !standin.Wait(5*time.Second, func() bool { return len(site.Ledger.Runs()) == 2*len(jobs) }) {
		return standin.Fail(site, "the jobs don't begin")
	}
	if standin.Trouble() {
		route.Service = "kafi81c"
	}
	site.Configure(services, route)
	time.Sleep(applied)
	again, _ := site.Call(site.Daemons[1], "POST", host, prefix+jobs[0], body)
	gone, _ := site.Call(site.Daemons[1], "GET", host, prefix+jobs[1], "")
	cancelled, _ := site.Call(site.Daemons[1], "DELETE", host, prefix+jobs[2], "")
	time.Sleep(12 * time.Second)
	last, state := site.Call(site.Daemons[0], "GET", host, prefix+jobs[1], "")
	runs := site.Ledger.Runs()
	twice := append(standin.Overlaps(runs), standin.StartsAfterDone(runs)...)
	for _, v := range twice {
		site.Record.Add("TWICE: %s", v)
	}
	if gone == 410 {
		site.Record.Add("LOST: a GET for the accepted job %s gets 410", jobs[1])
	}
	if last == 410 {
		site.Record.Add("LOST: a GET for the accepted and finished job %s gets 410", jobs[1])
	}
	fmt.Printf("repeated POST: %d; GET of an accepted job: %d, 12 s later %d %s; DELETE: %d; tasks run twice: %d\n", again, gone, last, state, cancelled, len(twice))
	if len(twice) > 0 || gone == 410 || last == 410 {
		return standin.Broken
	}
	if last != 200 {
		return standin.Fail(site, "no state")
	}
	return standin.Held
}
