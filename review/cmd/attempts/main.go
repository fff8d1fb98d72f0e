// Command attempts plays the case of a queue that is removed from the configuration
// while a task of an accepted job fails again and again.
package main

import (
	"fmt"
	"os"
	"time"

	"beryltide-review/standin"
)

const (
	host        = "pule25.example"
	prefix      = "/puxa400/"
	job         = "5c0e7a21d94b36f8"
	maxAttempts = 3
	taskTime    = 4 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	for i := range 4 {
		if _, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Machine: fmt.Sprintf("m-0a3f%d", i), Service: "huvo11a", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
			Work: func(string, int) (time.Duration, string) { return taskTime, "failed" },
		}); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	a := standin.Route{Name: "r-a", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: maxAttempts}
	b := standin.Route{Name: "r-b", Host: host, Prefix: "/kafi706/", Service: "huvo11a", MaxAttempts: maxAttempts}
	site.Configure([]string{"huvo11a"}, a, b)
	for i := range 2 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	if status, _ := site.Call(site.Daemons[0], "POST", host, prefix+job, `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"est_runtime_ms":4000}]}`); status != 200 {
		return standin.Fail(site, "the job isn't accepted")
	}
	if !standin.Wait(5*time.Second, func() bool { return len(site.Ledger.Runs()) > 0 }) {
		return standin.Fail(site, "the job doesn't begin")
	}
	if standin.Trouble() {
		site.Configure([]string{"huvo11a"}, b)
	}
	time.Sleep(5 * taskTime)
	failed := 0
	over := 0
	for _, r := range site.Ledger.Runs() {
		if failed >= maxAttempts {
			over++
			site.Record.Add("BUDGET: %s run %d starts after %d runs of the task have ended failed and been acknowledged", r.Task, r.Number, failed)
		}
		if r.How == "failed" && !r.Acked.IsZero() {
			failed++
		}
	}
	fmt.Printf("%d runs failed, max_attempts is %d, starts beyond it: %d\n", failed, maxAttempts, over)
	if over > 0 {
		return standin.Broken
	}
	return standin.Held
}
