// Package shortage decides which work waits and which is refused while a pool has too
// little capacity, so that it is the work whose delay costs callers least. It does no
// I/O, reads no clock and keeps no state; times are parameters.
//
// It is designed for this load: a pool of 30 instances gets 350 jobs a second of some 50
// core-seconds each for six seconds, several times what it can run, while it grows to
// 190 instances.
package shortage

import "time"

// NoValueAfter is the multiple of its objective after which a job's completion has no
// value left.
const NoValueAfter = 3

// Backlog is the backlog from which a pool is short: not all jobs can meet their
// objective.
const Backlog = time.Second
