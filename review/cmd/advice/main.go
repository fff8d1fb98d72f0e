// Command advice plays the case of many jobs that come at once to a queue whose policy
// needs advice for each step.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"beryltide-review/standin"
)

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
	// finish is finish_s.
	finish   = 14 * time.Second
	servers  = 12
	decide   = 60 * time.Millisecond
	period   = 5 * time.Millisecond
	validity = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	advisor := &standin.Advisor{Decide: decide, Period: period, Validity: validity, Record: site.Record}
	if site.Advisor, err = advisor.Serve(); err != nil {
		return standin.Fail(site, err.Error())
	}
	for i := range servers {
		if _, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91%02x", i), Machine: fmt.Sprintf("m-0a3%02x", i), Service: "huvo11a", Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
			Work:   func(string, int) (time.Duration, string) { return time.Second, "done" },
			Ticket: advisor.Allows,
		}); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	site.Configure([]string{"huvo11a"}, standin.Route{
		Name: "r-a", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: 4,
		Advice: map[string]int{"decide_ms": int(decide.Milliseconds()), "period_ms": int(period.Milliseconds()), "validity_ms": int(validity.Milliseconds())},
	})
	for i := range 3 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(3 * time.Second)
	count := 60
	if !standin.Trouble() {
		count = 6
	}
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
		count = n
	}
	var accepted []string
	for i := range count {
		id := fmt.Sprintf("5c0e7a21d94b37%02x", i)
		if status, _ := site.Call(site.Daemons[i%3], "POST", host, prefix+id, `{"spec":"x","steps":[{"count":2,"cpu":1700,"mem_mb":64,"est_runtime_ms":1000}]}`); status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(finish)
	starved := map[string]int{}
	for i := range 7 {
		for _, id := range accepted {
			if _, state := site.Call(site.Daemons[0], "GET", host, prefix+id, ""); state == `{"state":"queued"}` {
				starved[id]++
			}
		}
		if i < 6 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	lost := 0
	for _, id := range accepted {
		if starved[id] == 7 {
			lost++
			site.Record.Add("LOST: %s is accepted, and nothing of it has run for the 3 s after %v from the end of the traffic", id, finish)
		}
	}
	running := 0
	for _, s := range site.Servers {
		running += s.RunningCount()
	}
	fmt.Printf("%d jobs accepted, %d of them with nothing running %v after the traffic, for 3 s; %d tasks running on %d servers; %d advice calls answered, %d refused\n",
		len(accepted), lost, finish, running, servers, advisor.Calls, advisor.Refused)
	if lost > 0 && running*1700*4 < servers*16000 {
		return standin.Broken
	}
	return standin.Held
}
