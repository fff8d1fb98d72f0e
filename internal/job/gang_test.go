package job

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against a gang whose failed runs count more than once, less than once or not any
// more, and against one that is split: random gangs end in random ways and orders, the owner
// is replaced at random moments, and what it was storing is cut in two. The successor gets the
// ends again that weren't stored whole.
func TestGangsOfRandomSizesCountTheirFailedRuns(t *testing.T) {
	for seed := range uint64(2000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			members := 1 + random.IntN(6)
			if seed%5 == 0 {
				members = partTasks + 1 + random.IntN(900)
			}
			s := submission(Step{Count: members, Gang: true}, Step{Count: 1, After: []int{0}})
			g := &gangModel{is: is, random: random, submission: s, maxFailures: 1 + random.IntN(4), stored: storedJob{}}
			g.job = New(s)
			g.job.Advance(now)
			for range 12 {
				if !g.play() {
					break
				}
			}
		})
	}
}

// gangModel plays a job's gang, and counts its failed runs.
type gangModel struct {
	is          *is.I
	random      *rand.Rand
	submission  *Submission
	maxFailures int
	job         *Job
	stored      storedJob
	failedRuns  int
}

// memberEnd is the end of a member's run.
type memberEnd struct {
	index, run int
	how        End
}

// play plays one run, and reports whether there may be another one.
func (g *gangModel) play() bool {
	waiting := g.job.WaitingTasks(g.job.occurrences[0], 0)
	g.is.Equal(len(waiting), g.submission.Steps[0].Count) // it starts as a whole
	run := g.job.NextRun(task(0, 0))
	for _, index := range waiting {
		g.job.Place(task(0, index), run, at)
	}
	ends := g.drawEnds(run)
	if _, cut := g.commit(); cut {
		// No start was sent: the instances list none of them.
		for i := range ends {
			ends[i].how = EndLost
		}
	}
	failed, done := false, false
	for unstored := []memberEnd(nil); len(ends) > 0; {
		end := ends[0]
		ends = ends[1:]
		g.job.Ended(task(0, end.index), end.run, end.how, "", g.maxFailures, now)
		failed, done = failed || end.how == EndFailed, done || end.how == EndDone
		unstored = append(unstored, end)
		if g.random.IntN(len(ends)+1) > 2 {
			continue
		}
		if replaced, _ := g.commit(); replaced {
			ends = g.listAgain(slices.Concat(unstored, ends))
		}
		unstored = nil
	}
	g.job.EachPlaced(func(id TaskID, t *Task) {
		g.job.Ended(id, t.Run, EndLost, "", g.maxFailures, now) // a successor's first listing shows none
	})
	if failed && !done {
		g.failedRuns++
	}
	switch {
	case done:
		g.is.Equal(g.job.State(), Running)
		g.is.True(g.job.StepReady(g.job.occurrences[0], 1)) // all members count as done
	case g.failedRuns >= g.maxFailures:
		g.is.Equal(g.job.State(), Failed)
	default:
		g.is.True(g.job.Active())
		counted := 0
		for _, t := range g.job.occurrences[0].Steps[0] {
			counted = max(counted, t.Failures)
		}
		g.is.Equal(counted, g.failedRuns)
		return true
	}
	return false
}

// drawEnds draws how the members of a run end, and in which order.
func (g *gangModel) drawEnds(run int) []memberEnd {
	others := []End{EndStopped, EndLapsed, EndBroken, EndAlone, EndLost}
	ends := make([]memberEnd, g.submission.Steps[0].Count)
	one, kind := g.random.IntN(len(ends)), g.random.IntN(5)
	for i := range ends {
		how := others[g.random.IntN(len(others))]
		switch {
		case kind == 0:
			how = EndDone
		case kind == 1 && i == one, kind == 2 && g.random.IntN(2) == 0, kind == 3:
			how = EndFailed
		}
		ends[i] = memberEnd{index: i, run: run, how: how}
	}
	g.random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	return ends
}

// listAgain returns the ends that the instances list to a successor. If some of the gang's
// members are stored as done, the instances of the others may have restarted: they list none.
func (g *gangModel) listAgain(ends []memberEnd) []memberEnd {
	g.random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	isDone := func(t Task) bool { return t.Phase == Done }
	o := g.job.occurrences[0]
	if o != nil && slices.ContainsFunc(o.Steps[0], isDone) && g.random.IntN(2) == 0 {
		for i := range ends {
			ends[i].how = EndLost
		}
	}
	return ends
}

// commit stores the job's changes. It may replace the owner after that or in the middle of
// it, and reports both.
func (g *gangModel) commit() (replaced, cut bool) {
	records := g.job.Records(testLimit)
	count := len(records)
	fault := g.random.IntN(6)
	if fault == 0 {
		count = g.random.IntN(count)
	}
	g.stored.store(records[:count])
	if fault > 1 {
		return false, false
	}
	g.takeOver()
	return true, count < len(records)
}

// takeOver restores the job as a successor does: without a head it is a new one.
func (g *gangModel) takeOver() {
	g.job = New(g.submission)
	if g.stored[""] != nil {
		var err error
		g.job, err = g.stored.restore(g.submission)
		g.is.NoErr(err)
		g.job.FailIfExhausted(g.maxFailures)
	}
	g.job.Advance(now)
}
