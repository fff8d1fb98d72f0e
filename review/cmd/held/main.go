// Command held plays the case of the daemon that orders machines to move and is cut off
// from the platform while its orders are on their way.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"beryltide-review/standin"
)

const (
	host   = "pule25.example"
	prefix = "/puxa400/"
	// cutTime is the time for which the site file cuts the leader off from the store.
	cutTime = 5500 * time.Millisecond
	jobs    = 40
)

func main() { os.Exit(run()) }

func run() int {
	site, err := standin.NewSite(os.Args[1])
	if err != nil {
		return standin.Fail(nil, err.Error())
	}
	defer site.Close()
	site.Machines.Spare = "gono99e"
	pools := []string{"huvo11a", "kafi81c"}
	for i := range 24 {
		if _, err := site.AddServer(&standin.Server{
			ID: fmt.Sprintf("i-7f3a91%02x", i), Machine: fmt.Sprintf("m-0a3%02x", i), Service: pools[i%2], Zone: "tr-a",
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, Capacity: standin.Resources{CPU: 16000, Memory: 32768},
			Work: func(string, int) (time.Duration, string) { return 2 * time.Second, "done" },
		}); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	site.Configure(append(pools, site.Machines.Spare), standin.Route{Name: "r-a", Host: host, Prefix: prefix, Service: "huvo11a", MaxAttempts: 4},
		standin.Route{Name: "r-b", Host: host, Prefix: "/kafi706/", Service: "kafi81c", MaxAttempts: 4})
	for i := range 3 {
		if _, err := site.AddDaemon(fmt.Sprintf("front-tr-a-%d", i+1)); err != nil {
			return standin.Fail(site, err.Error())
		}
	}
	if !site.WaitReady(20 * time.Second) {
		return standin.Fail(site, "the daemons don't get ready")
	}
	time.Sleep(6 * time.Second)
	healed := make(chan struct{})
	var once sync.Once
	site.Machines.SetOnOrder(func(o standin.Order) {
		if !standin.Trouble() {
			return
		}
		once.Do(func() {
			for _, d := range site.Daemons {
				if d.Name == o.Holder {
					site.Record.Add("%s is cut off from the platform", d.Name)
					d.Store.Cut()
					d.Cloud.Cut()
					go func() {
						time.Sleep(cutTime)
						d.Store.Heal()
						d.Cloud.Heal()
						site.Record.Add("%s reaches the platform again", d.Name)
						close(healed)
					}()
				}
			}
		})
	})
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b37%02x", i)
		site.Call(site.Daemons[i%3], "POST", host, prefix+id, `{"spec":"x","steps":[{"count":8,"cpu":4000,"mem_mb":64,"est_runtime_ms":2000}]}`)
	}
	if standin.Trouble() {
		select {
		case <-healed:
		case <-time.After(40 * time.Second):
			return standin.Fail(site, "no machine is ordered to move")
		}
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(6 * time.Second)
	highest := map[string]standin.Order{}
	broken := 0
	for _, o := range site.Machines.Orders() {
		if h, known := highest[o.Machine]; known && o.Fence < h.Fence {
			broken++
			site.Record.Add("ONE: %s gets an order of %s with fence number %d, %d ms after one of %s with %d", o.Machine, o.Holder, o.Fence, o.At.Sub(h.At).Milliseconds(), h.Holder, h.Fence)
		} else {
			highest[o.Machine] = o
		}
	}
	fmt.Printf("%d orders to machines, %d of them with a lower fence number after a higher one\n", len(site.Machines.Orders()), broken)
	if broken > 0 {
		return standin.Broken
	}
	return standin.Held
}
