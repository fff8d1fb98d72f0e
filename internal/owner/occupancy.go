package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/forecast"
	"github.com/beryltide/beryltide/internal/job"
)

// resourceCount is the number of resources: CPU, memory and accelerators.
const resourceCount = 3

// occupancy is the part of an instance, or of several, that tasks take of each
// resource, as thousandths of a core of the instance: half of an instance's memory
// counts as much as half of its cores. The tasks of a pool need as many instances as
// the resource that they take most of.
type occupancy [resourceCount]int

// amounts returns the amount of each resource.
func amounts(r job.Resources) [resourceCount]int {
	return [resourceCount]int{r.CPU, r.Memory, r.GPU}
}

// occupancyOf returns the part of an instance that a task takes if the instance runs
// as many of them as fit, so that what is left unused beside them counts too. A task
// that is larger than the instance, or needs what it lacks, counts as it is.
func occupancyOf(need, instance job.Resources) occupancy {
	var o occupancy
	needed, sizes := amounts(need), amounts(instance)
	for n, size := range sizes {
		switch {
		case needed[n] <= 0:
		case size <= 0:
			o[n] = need.CPU
		case needed[n] > size:
			o[n] = scaled(instance.CPU, needed[n], size)
		default:
			o[n] = instance.CPU / (size / needed[n])
		}
	}
	return o
}

// allocated returns the part of an instance that an allocation takes.
func allocated(allocation, instance job.Resources) occupancy {
	var o occupancy
	taken, sizes := amounts(allocation), amounts(instance)
	for n, size := range sizes {
		if size > 0 {
			o[n] = scaled(instance.CPU, taken[n], size)
		}
	}
	return o
}

// scaled returns the part of a size that is whole, in the unit of whole.
func scaled(whole, part, size int) int { return int(int64(whole) * int64(part) / int64(size)) }

// add returns the occupancy of o and that of a number of tasks.
func (o occupancy) add(task occupancy, tasks int) occupancy {
	for n, part := range task {
		o[n] += part * tasks
	}
	return o
}

// largest returns the part of the resource that most is taken of, in thousandths of a
// core.
func (o occupancy) largest() int {
	largest := 0
	for _, part := range o {
		largest = max(largest, part)
	}
	return largest
}

// freeCPU returns the free capacity of an instance that tasks can use, in thousandths
// of a core: what is left of CPU or memory, whichever is less. Smallest is the smallest
// need of a waiting task for each of them; remainders too small for it aren't counted.
func freeCPU(free, instance, smallest job.Resources) int {
	cpu := max(free.CPU, 0)
	if smallest.CPU > 0 {
		cpu -= cpu % smallest.CPU
	}
	if instance.Memory <= 0 {
		return cpu
	}
	memory := max(free.Memory, 0)
	if smallest.Memory > 0 {
		memory -= memory % smallest.Memory
	}
	return min(cpu, scaled(instance.CPU, memory, instance.Memory))
}

// arrivals is the recent history of a pool's arriving work by resource.
type arrivals [resourceCount]forecast.Arrivals

// add records a job's arrival: what its tasks occupy times their run times, by
// resource in core-seconds, and the length of its critical path.
func (a *arrivals) add(now time.Time, work [resourceCount]float64, criticalPath time.Duration) {
	for n := range a {
		a[n].Add(now, work[n], criticalPath)
	}
}

// cores returns what the arriving work will occupy after a time, in cores.
func (a *arrivals) cores(now time.Time, after time.Duration) float64 {
	var most float64
	for n := range a {
		most = max(most, a[n].Cores(now, after))
	}
	return most
}
