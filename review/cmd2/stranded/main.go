// Command stranded kills all daemons right after a job was accepted, brings them back, and
// checks that the job's task starts.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"beryltide-review/lab2"
)

const (
	host, key = "tags.example", "key-of-small"
	job       = "/laser/5c0e7a21d94b36f8"
	// downFor is how long the processes are gone: herd_kill with power in the site file
	// takes up to 9.5 s.
	downFor = 8 * time.Second
	// finish is finish_s, and idle the time for which the rule lets a task wait.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	lab, err := lab2.New()
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	defer lab.Close()
	lab.Machines.Spare = "registry"
	lab.Machines.Make = func(k *lab2.Worker) {
		k.RunTime = func(string, string) time.Duration { return time.Second }
	}
	pools := []string{"proofing", "engraving", "shopfront", "clinic"}
	for p, pool := range append(pools, "registry") {
		for n := range 3 {
			if err := lab.Machines.Add(fmt.Sprintf("m-%s-%d", pool, n), pool, "tr-a", []string{"a", fmt.Sprintf("r%d-%d", p, n/4)}, 16000, 32768); err != nil {
				fmt.Println(err)
				return lab2.NotRun
			}
		}
	}
	routes := []map[string]any{lab2.Route("r-laser", host, "/laser/", "engraving"), lab2.Route("r-tag", host, "/tag/", "proofing")}
	// The tenant may run 16 cores; the job's one task takes 6.
	lab.Configure(lab2.Config(3, routes, append(pools, "registry"), "registry", []map[string]any{lab2.Tenant("small", key, 16000, 65536)}))
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
	// A first job shows that the tenant is served.
	step := map[string]any{"count": 1, "cpu": 6000, "mem_mb": 1024, "est_runtime_ms": 500}
	body := map[string]any{"spec": "engrave", "steps": []any{step}}
	if status, _ := lab.Call(lab.Daemons[0], http.MethodPost, host, "/laser/00000000000000aa", key, body); status != http.StatusOK {
		return lab.Finish(lab2.NotRun, "the first job isn't accepted")
	}
	if !await(lab, "/laser/00000000000000aa", 10*time.Second) {
		return lab.Finish(lab2.NotRun, "the first job isn't completed")
	}
	if lab.Trouble {
		// The job is accepted, and in the same moment all processes are killed.
		accepted := make(chan int, 1)
		go func() {
			status, _ := lab.Call(lab.Daemons[1], http.MethodPost, host, job, key, body)
			accepted <- status
		}()
		status := <-accepted
		for _, d := range lab.Daemons {
			d.Signal(syscall.SIGKILL)
		}
		for _, d := range lab.Daemons {
			d.Kill()
		}
		if status != http.StatusOK {
			return lab.Finish(lab2.NotRun, "the job isn't accepted")
		}
		time.Sleep(downFor)
		for _, d := range lab.Daemons {
			if err := d.Start(); err != nil {
				return lab.Finish(lab2.NotRun, err.Error())
			}
		}
		if !lab.AwaitReady(20 * time.Second) {
			return lab.Finish(lab2.NotRun, "the daemons don't get ready again")
		}
	} else if status, _ := lab.Call(lab.Daemons[1], http.MethodPost, host, job, key, body); status != http.StatusOK {
		return lab.Finish(lab2.NotRun, "the job isn't accepted")
	}
	if await(lab, job, 12*time.Second+finish+idle) {
		return lab.Finish(lab2.Held, "the job is completed")
	}
	for _, pool := range pools {
		for _, k := range lab.Machines.Workers(pool) {
			lab.Event("worker", "pool", pool, "id", k.ID, "running", len(k.Running()))
		}
	}
	return lab.Finish(lab2.Broken, "LOST: the accepted job has had nothing running for seconds, with all of its pool and of its tenant's cap free")
}

// await waits until a job is shown as completed.
func await(lab *lab2.Lab, path string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if _, data := lab.Call(lab.Daemons[0], http.MethodGet, host, path, key, nil); string(data) == `{"state":"completed"}` {
			return true
		}
	}
	return false
}
