package dispatch

import "time"

// runTimeWeight is the weight of a new observation in the mean run time.
const runTimeWeight = 0.1

// estimates learns run times by queue, since declared ones are often far off.
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

// wait estimates how long a request would wait before its start: those of its
// line ahead of it, at the pace at which the line's running requests end. With
// no run time observed the estimate is zero, so that work is refused only on
// evidence.
func (e *estimates) wait(l *teamQueue, r *Request) time.Duration {
	ahead := l.urgent.length
	if !r.Urgent {
		ahead += l.normal.length
	}
	if ahead == 0 {
		return 0
	}
	concurrency := max(float64(l.running), 1)
	return time.Duration(float64(ahead) / concurrency * float64(e.runTime[r.Queue]))
}
