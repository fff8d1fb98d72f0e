package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// A task without value left reserves no node. Guards against one that small tasks in time
// keep from starting for that reason, while less than half of the pool is in use: they are
// placed on the fullest nodes, so that one is left for it.
func TestLargeTaskWithoutValueStartsBesideSmallOnesInTime(t *testing.T) {
	const tick, ticks, nodeCPU, smallCPU = 100 * time.Millisecond, 50, 16_000, 3000
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := now
		free := []int{nodeCPU, nodeCPU, nodeCPU, nodeCPU}
		type ending struct{ node, tick int }
		var running []ending
		small, large := job.Step{Need: job.Resources{CPU: smallCPU}}, job.Step{Need: job.Resources{CPU: 10_000}}
		started := -1
		for n := 0; n < ticks && started < 0; n++ {
			now = now.Add(tick)
			running = slices.DeleteFunc(running, func(e ending) bool {
				if e.tick <= n {
					free[e.node] += smallCPU
				}
				return e.tick <= n
			})
			var candidates []*Candidate
			if n >= ticks/2 {
				candidates = append(candidates, &Candidate{Job: "large", Step: &large, Class: NoValue, WaitingSince: now, Tasks: []Task{{}}})
			}
			for i := range random.IntN(5) {
				if len(running)+i < 10 { // 30 of 64 cores
					candidates = append(candidates, &Candidate{Job: fmt.Sprint("small-", i), Step: &small, Class: InTime, WaitingSince: now, Tasks: []Task{{}}})
				}
			}
			var nodes []*Node
			for i, cpu := range free {
				nodes = append(nodes, &Node{ID: fmt.Sprint(i), Capacity: job.Resources{CPU: nodeCPU}, Free: job.Resources{CPU: cpu}})
			}
			for _, a := range Plan(now, candidates, nodes) {
				node := int(a.Node[0] - '0')
				if a.Task.Job == "large" {
					started = n
					continue
				}
				free[node] -= smallCPU
				running = append(running, ending{node, n + 3 + random.IntN(20)})
			}
		}
		if started < 0 {
			t.Errorf("seed %d: not started", seed)
		}
	}
}
