// Command size plays the case of one large job that comes before others.
package main

import (
	"fmt"
	"os"
	"time"

	"beryltide-review/standin"
)

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
	large  = "5c0e7a21d94b36f8"
	// finish is finish_s.
	finish = 14 * time.Second
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
			Work: func(string, int) (time.Duration, string) { return time.Second, "done" },
		}); err != nil {
			return standin.Fail(site, err.Error())
		}
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
	time.Sleep(3 * time.Second)
	if standin.Trouble() {
		body := `{"spec":"x","steps":[{"count":9000,"cpu":500,"mem_mb":64,"est_runtime_ms":1000},` +
			`{"count":9000,"cpu":500,"mem_mb":64,"est_runtime_ms":1000,"after":[0]}]}`
		if status, _ := site.Call(site.Daemons[0], "POST", host, prefix+large, body); status != 200 {
			site.Record.Add("the large job isn't accepted: %d", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	var accepted []string
	for i := range 10 {
		id := fmt.Sprintf("5c0e7a21d94b37%02x", i)
		if status, _ := site.Call(site.Daemons[i%3], "POST", host, prefix+id, `{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":64,"est_runtime_ms":1000}]}`); status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return standin.Fail(site, "no job is accepted")
	}
	time.Sleep(finish)
	lost := 0
	for _, id := range accepted {
		status, state := site.Call(site.Daemons[0], "GET", host, prefix+id, "")
		if state != `{"state":"completed"}` {
			lost++
			site.Record.Add("LOST: %s is accepted, nothing of it runs, all servers are empty, and %d ms after the end of the traffic its state is %d %s", id, finish.Milliseconds(), status, state)
		}
	}
	if status, state := site.Call(site.Daemons[0], "GET", host, prefix+large, ""); standin.Trouble() && status == 200 {
		site.Record.Add("the large job is shown as %s", state)
	}
	running := 0
	for _, s := range site.Servers {
		running += s.RunningCount()
	}
	fmt.Printf("%d jobs accepted beside the large one, %d of them not done after %v, %d tasks running, %d runs in all, %d appends refused for their size\n",
		len(accepted), lost, finish, running, len(site.Ledger.Runs()), site.Store.Refused)
	if lost > 0 && running == 0 {
		return standin.Broken
	}
	return standin.Held
}
