// Command leader has the store deal the partitions anew twice while the leader is frozen for
// a second, and checks that an ordinary job is run afterwards.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"beryltide-review/lab2"
)

const (
	host, key = "tags.example", "key-of-small"
	group     = "owners"
	// frozenFor is under the site file's node_freeze, 4 s.
	frozenFor = 1050 * time.Millisecond
	// contact is contact_ms, finish is finish_s, and idle the time for which the rule lets
	// a task wait.
	contact = 3 * time.Second
	finish  = 14 * time.Second
	idle    = 3 * time.Second
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
	routes := []map[string]any{}
	for p, pool := range append(pools, "registry") {
		for n := range 3 {
			if err := lab.Machines.Add(fmt.Sprintf("m-%s-%d", pool, n), pool, "tr-a", []string{"a", fmt.Sprintf("r%d-%d", p, n/4)}, 16000, 32768); err != nil {
				fmt.Println(err)
				return lab2.NotRun
			}
		}
		if pool != "registry" {
			routes = append(routes, lab2.Route("r-"+pool, host, "/"+pool+"/", pool))
		}
	}
	// The tenant may run 16 cores; the job's one task takes 6.
	lab.Configure(lab2.Config(3, routes, append(pools, "registry"), "registry", []map[string]any{lab2.Tenant("small", key, 16000, 65536)}))
	for n := range 6 {
		if _, err := lab.AddDaemon(fmt.Sprintf("front-%d", n), "tr-a", 284); err != nil {
			fmt.Println(err)
			return lab2.NotRun
		}
	}
	if !lab.AwaitReady(20 * time.Second) {
		return lab.Finish(lab2.NotRun, "the daemons don't get ready")
	}
	time.Sleep(5 * time.Second)
	leaderName, leader := holder(lab, "fleet of all pools")
	// The job goes to a pool whose owner neither leads nor will for a moment.
	pool, owner := "", ""
	for _, p := range pools {
		if name, _ := holder(lab, p); name != leaderName && name != "" {
			pool, owner = p, name
		}
	}
	otherName := ""
	for part := range 24 {
		if name := lab.Store.Holder(group, part); name != leaderName && name != owner {
			otherName = name
		}
	}
	if leader == nil || pool == "" || otherName == "" {
		return lab.Finish(lab2.NotRun, "no leader, or no pool of another owner")
	}
	lab.Event("chosen", "leader", leaderName, "owner", owner, "other", otherName, "pool", pool)
	step := map[string]any{"count": 1, "cpu": 6000, "mem_mb": 1024, "est_runtime_ms": 500}
	body := map[string]any{"spec": "engrave", "steps": []any{step}}
	from := lab.Daemons[0]
	if from == leader {
		from = lab.Daemons[1]
	}
	if lab.Trouble {
		leader.Signal(syscall.SIGSTOP)
		lab.Event("the store deals all partitions anew", "generation", lab.Store.Exchange(group, leaderName, otherName))
		time.Sleep(frozenFor - 150*time.Millisecond)
		lab.Event("the store deals all partitions anew", "generation", lab.Store.Exchange(group, leaderName, otherName))
		time.Sleep(150 * time.Millisecond)
		leader.Signal(syscall.SIGCONT)
	}
	// All machines are in touch again.
	time.Sleep(contact + time.Second)
	path := "/" + pool + "/5c0e7a21d94b36f8"
	if status, _ := lab.Call(from, http.MethodPost, host, path, key, body); status != http.StatusOK {
		return lab.Finish(lab2.NotRun, "the job isn't accepted")
	}
	for deadline := time.Now().Add(finish + idle + 5*time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if _, data := lab.Call(from, http.MethodGet, host, path, key, nil); string(data) == `{"state":"completed"}` {
			return lab.Finish(lab2.Held, "the job is completed")
		}
	}
	for _, p := range pools {
		for _, k := range lab.Machines.Workers(p) {
			lab.Event("worker", "pool", p, "id", k.ID, "running", len(k.Running()))
		}
	}
	return lab.Finish(lab2.Broken, "LOST: the accepted job has had nothing running for seconds, with all of its pool and of its tenant's cap free")
}

// holder returns the member that has a pool's unit, and its daemon.
func holder(lab *lab2.Lab, pool string) (string, *lab2.Daemon) {
	unit, err := strconv.Atoi(lab.Store.Newest("keyed.units", pool))
	if err != nil {
		return "", nil
	}
	name := lab.Store.Holder(group, unit)
	for _, d := range lab.Daemons {
		if strings.HasPrefix(name, d.Peers+"#") {
			return name, d
		}
	}
	return name, nil
}
