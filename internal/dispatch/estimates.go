package dispatch

import "time"

// runTimeWeight is the weight of a new observation in a queue's mean run time.
const runTimeWeight = 0.1

// estimates keeps the mean run time of each queue. It uses observed run times
// because declared ones are often far off.
type estimates struct {
	runTime map[string]time.Duration
}

func newEstimates() *estimates {
	return &estimates{runTime: map[string]time.Duration{}}
}

func (e *estimates) observe(queue string, ran time.Duration) {
	if ran <= 0 {
		return
	}
	mean, ok := e.runTime[queue]
	if !ok {
		e.runTime[queue] = ran
		return
	}
	e.runTime[queue] = mean + time.Duration(runTimeWeight*float64(ran-mean))
}

// wait estimates how long a request waits before its start, from the number of
// requests ahead of it in its team queue and the rate at which the team's
// running requests in the pool end. Without an observed run time the estimate
// is zero, so that requests are refused only on evidence.
func (e *estimates) wait(tq *teamQueue, r *Request) time.Duration {
	ahead := tq.urgent.length
	if !r.Urgent {
		ahead += tq.normal.length
	}
	if ahead == 0 {
		return 0
	}
	concurrency := max(float64(tq.running), 1)
	return time.Duration(float64(ahead) / concurrency * float64(e.runTime[r.Queue]))
}
