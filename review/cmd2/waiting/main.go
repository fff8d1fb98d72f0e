// Command waiting has the only worker of a kind refuse all starts for some seconds, and
// compares the number of waiting jobs that the system gives with those that haven't begun.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"beryltide-review/lab2"
)

const (
	host, key = "tags.example", "key-of-shop"
	jobs      = 8
	// sickFor is the longest srv_grey of the small sites.
	sickFor = 6500 * time.Millisecond
	// settled is visible_ms and the 2 s by which the number may be old.
	settled = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	lab, err := lab2.New()
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	defer lab.Close()
	var sick atomic.Bool
	lab.Machines.Make = func(k *lab2.Worker) {
		k.RunTime = func(string, string) time.Duration { return time.Second }
		k.Refuse = func() int {
			if sick.Load() && k.Labels[0] == "b" {
				return http.StatusServiceUnavailable
			}
			return 0
		}
	}
	var mu sync.Mutex
	begun := map[string]bool{}
	lab.OnEvent(func(name string, fields []any) {
		if name == "start" {
			mu.Lock()
			begun[lab2.JobOf(fields[3].(string))] = true
			mu.Unlock()
		}
	})
	// One of seven workers is of kind b: 0.143 of the pool, as in srv_grey's share of 0.15.
	for n := range 7 {
		kind := "a"
		if n == 6 {
			kind = "b"
		}
		if err := lab.Machines.Add(fmt.Sprintf("m-%d", n), "engraving", "tr-a", []string{kind, fmt.Sprintf("r1-%d", n/4)}, 16000, 32768); err != nil {
			fmt.Println(err)
			return lab2.NotRun
		}
	}
	lab.Configure(lab2.Config(3, []map[string]any{lab2.Route("r-laser", host, "/laser/", "engraving")}, []string{"engraving"}, "", []map[string]any{lab2.Tenant("shop", key, 0, 0)}))
	for n := range 3 {
		if _, err := lab.AddDaemon(fmt.Sprintf("front-%d", n), "tr-a", 284); err != nil {
			fmt.Println(err)
			return lab2.NotRun
		}
	}
	if !lab.AwaitReady(20 * time.Second) {
		return lab.Finish(lab2.NotRun, "the daemons don't get ready")
	}
	time.Sleep(4 * time.Second)
	if lab.Trouble {
		lab.Event("the worker of kind b refuses starts")
		sick.Store(true)
		time.AfterFunc(sickFor, func() {
			lab.Event("the worker of kind b takes starts")
			sick.Store(false)
		})
	}
	step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 512, "est_runtime_ms": 900, "requirements": "b"}
	ids := []string{}
	for n := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", n)
		status, _ := lab.Call(lab.Daemons[n%3], http.MethodPost, host, "/laser/"+id, key, map[string]any{"spec": "engrave", "steps": []any{step}})
		if status != http.StatusOK {
			return lab.Finish(lab2.NotRun, "a job isn't accepted")
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	time.Sleep(settled + 200*time.Millisecond)
	broken := ""
	for _, d := range lab.Daemons {
		mu.Lock()
		unbegun := 0
		for _, id := range ids {
			if !begun[id] {
				unbegun++
			}
		}
		mu.Unlock()
		status, data := lab.Call(d, http.MethodGet, host, "/laser/", key, nil)
		var reply struct{ Waiting int }
		if status != http.StatusOK || json.Unmarshal(data, &reply) != nil {
			return lab.Finish(lab2.NotRun, "no number of waiting jobs")
		}
		lab.Event("compared", "daemon", d.Name, "not_begun", unbegun, "waiting", reply.Waiting, "after_ms", time.Since(accepted).Milliseconds())
		if 2*reply.Waiting < unbegun {
			broken = fmt.Sprintf("MIXED: %d accepted jobs haven't begun, the caller is told that %d wait", unbegun, reply.Waiting)
		}
	}
	// All of them run in the end.
	for _, id := range ids {
		done := false
		for deadline := time.Now().Add(30 * time.Second); !done && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
			_, data := lab.Call(lab.Daemons[0], http.MethodGet, host, "/laser/"+id, key, nil)
			done = string(data) == `{"state":"completed"}`
		}
		if !done {
			lab.Event("not completed", "job", id)
		}
	}
	if broken != "" {
		return lab.Finish(lab2.Broken, broken)
	}
	return lab.Finish(lab2.Held, "the number of waiting jobs is right")
}
