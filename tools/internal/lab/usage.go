package lab

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the number of clock ticks per second in /proc.
const ticksPerSecond = 100

// Usage is a process's resource usage.
type Usage struct {
	// CPU is its processor time.
	CPU time.Duration
	// RSS is its resident memory in bytes.
	RSS int64
}

// Usage reads the process's usage so far from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	// The command, field 2, may contain spaces; field 3 follows its closing bracket.
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) < 22 {
		return Usage{}, errors.New("usage: too few fields in /proc stat")
	}
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "usage")
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	return Usage{
		CPU: time.Duration(ticks) * time.Second / ticksPerSecond,
		RSS: pages * int64(os.Getpagesize()),
	}, nil
}
