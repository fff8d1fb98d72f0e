// Command tasks hands in jobs of many tasks, each in a small body, and checks that the
// processes stay within the memory of their machines and that an ordinary job is served.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"beryltide-review/lab2"
)

const (
	host, key   = "tags.example", "key-of-shop"
	crowdKey    = "key-of-crowd"
	memoryMB    = 284
	jobs        = 60
	watch       = 45 * time.Second
	memoryCheck = 50 * time.Millisecond
	restart     = 2 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	lab, err := lab2.New()
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	defer lab.Close()
	lab.Machines.Make = func(k *lab2.Worker) {
		k.RunTime = func(string, string) time.Duration { return time.Second }
	}
	for n := range 6 {
		if err := lab.Machines.Add(fmt.Sprintf("m-%d", n), "engraving", "tr-a", []string{"a", fmt.Sprintf("r1-%d", n/4)}, 16000, 32768); err != nil {
			fmt.Println(err)
			return lab2.NotRun
		}
	}
	lab.Configure(lab2.Config(3, []map[string]any{lab2.Route("r-laser", host, "/laser/", "engraving")}, []string{"engraving"}, "",
		[]map[string]any{lab2.Tenant("shop", key, 0, 0), lab2.Tenant("crowd", crowdKey, 16000, 32768)}))
	for n := range 3 {
		if _, err := lab.AddDaemon(fmt.Sprintf("front-%d", n), "tr-a", memoryMB); err != nil {
			fmt.Println(err)
			return lab2.NotRun
		}
	}
	if !lab.AwaitReady(20 * time.Second) {
		return lab.Finish(lab2.NotRun, "the daemons don't get ready")
	}
	time.Sleep(4 * time.Second)
	// The platform kills a process that exceeds the memory of its machine, and starts it again.
	var mu sync.Mutex
	killed, most := map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, d := range lab.Daemons {
		watchers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(memoryCheck):
				}
				used := d.Memory()
				mu.Lock()
				if used > most[d.Name] {
					if used/20 > most[d.Name]/20 {
						lab.Event("memory", "daemon", d.Name, "mib", used)
					}
					most[d.Name] = used
				}
				mu.Unlock()
				if used > memoryMB {
					lab.Event("over its memory", "daemon", d.Name, "mib", used)
					d.Kill()
					mu.Lock()
					killed[d.Name]++
					most[d.Name] = 0
					mu.Unlock()
					time.Sleep(restart)
					_ = d.Start()
				}
			}
		})
	}
	accepted := 0
	if lab.Trouble {
		step := map[string]any{"count": 10000, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 900}
		body := map[string]any{"spec": "engrave", "steps": []any{step, step, step, step, step}}
		for n := range jobs {
			if status, _ := lab.Call(lab.Daemons[n%3], http.MethodPost, host, fmt.Sprintf("/laser/5c0e7a21d94b36%02x", n), crowdKey, body); status == http.StatusOK {
				accepted++
			}
			time.Sleep(60 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	// An ordinary caller hands in a job, at any daemon, until one answers.
	ordinary, served := "/laser/00000000000000aa", false
	step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 512, "est_runtime_ms": 900}
	body := map[string]any{"spec": "engrave", "steps": []any{step}}
	taken := false
	for deadline, n := time.Now().Add(watch), 0; !served && time.Now().Before(deadline); n++ {
		d := lab.Daemons[n%3]
		if !taken {
			status, _ := lab.Call(d, http.MethodPost, host, ordinary, key, body)
			taken = status == http.StatusOK
		} else {
			_, data := lab.Call(d, http.MethodGet, host, ordinary, key, nil)
			served = string(data) == `{"state":"completed"}`
		}
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	watchers.Wait()
	lab.Event("seen", "crowd_accepted", accepted, "killed", killed, "most_mib", most, "ordinary_taken", taken, "ordinary_served", served)
	if len(killed) > 0 || !served {
		return lab.Finish(lab2.Broken, fmt.Sprintf("processes over %d MiB: %v; the ordinary job is taken: %v, served: %v", memoryMB, killed, taken, served))
	}
	return lab.Finish(lab2.Held, "the processes stay within their memory, and the ordinary job is served")
}
