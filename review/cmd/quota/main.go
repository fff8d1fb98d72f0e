// Command quota plays the case of one job that asks for more than any server has, and of
// other jobs of its team in another queue.
package main

import (
	"fmt"
	"os"
	"time"

	"beryltide-review/standin"
)

const (
	host     = "pule25.example"
	previews = "/puxa400/"
	batches  = "/kafi706/"
	hopeless = "5c0e7a21d94b36f8"
	// finish is finish_s.
	finish = 14 * time.Second
	// watch is how long a job has nothing running until it counts as lost.
	watch = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	site.Cap = standin.Resources{CPU: 100000, Memory: 200000}
	services := []string{"huvo11a", "kafi81c"}
	for i := range 12 {
		if _, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91%02x", i), Machine: fmt.Sprintf("m-0a3%02x", i), Service: services[i%2], Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
			Work: func(string, int) (time.Duration, string) { return time.Second, "done" },
		}); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	site.Configure(services,
		standin.Route{Name: "r-a", Host: host, Prefix: previews, Service: "huvo11a", MaxAttempts: 4},
		standin.Route{Name: "r-b", Host: host, Prefix: batches, Service: "kafi81c", MaxAttempts: 4})
	for i := range 3 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(4 * time.Second)
	if standin.Trouble() {
		status, _ := site.Call(site.Daemons[0], "POST", host, batches+hopeless, `{"spec":"x","steps":[{"count":50,"cpu":64000,"mem_mb":1024,"est_runtime_ms":3600000}]}`)
		site.Record.Add("the job that can't be done gets %d", status)
		time.Sleep(time.Second)
	}
	var accepted []string
	for i := range 20 {
		id := fmt.Sprintf("5c0e7a21d94b37%02x", i)
		if status, _ := site.Call(site.Daemons[i%3], "POST", host, previews+id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":1500,"est_runtime_ms":1000}]}`); status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return standin.Fail(site, "no job is accepted")
	}
	time.Sleep(finish)
	before := len(site.Ledger.Runs())
	time.Sleep(watch)
	after := len(site.Ledger.Runs())
	running := 0
	for _, s := range site.Servers {
		running += s.RunningCount()
	}
	lost := 0
	for _, id := range accepted {
		if _, state := site.Call(site.Daemons[0], "GET", host, previews+id, ""); state != `{"state":"completed"}` {
			lost++
			site.Record.Add("LOST: %s is accepted, nothing of it runs %v after the end of the traffic and for %v more, and all servers are empty: %s", id, finish, watch, state)
		}
	}
	fmt.Printf("%d jobs accepted in the other queue, %d of them not done %v after the traffic; %d runs in all, %d tasks running on %d servers\n",
		len(accepted), lost, finish+watch, after, running, len(site.Servers))
	if lost > 0 && before == after && running == 0 {
		return standin.Broken
	}
	if lost > 0 {
		return standin.Fail(site, "jobs are late")
	}
	return standin.Held
}
