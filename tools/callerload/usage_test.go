package callerload

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/fleetd"
)

// sampleInterval is the interval at which a process's usage is read.
const sampleInterval = 20 * time.Millisecond

// peakUsage holds the highest values seen. Memory is resident memory and the bytes in the
// buffers of the process's sockets, which count towards it too.
type peakUsage struct {
	resident, memory int64
	descriptors      int
}

// usage samples a process's usage until it is stopped.
type usage struct {
	pid   int
	ports map[string]bool
	end   chan struct{}
	wg    sync.WaitGroup
	peak  peakUsage
}

func watchUsage(pid int, s fleetd.Settings) *usage {
	u := &usage{pid: pid, ports: map[string]bool{}, end: make(chan struct{})}
	for _, address := range []string{s.Callers, s.Readiness, s.Peers, s.Operations} {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		u.ports[fmt.Sprintf("%04X", n)] = true
	}
	u.wg.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-u.end:
				return
			case <-ticker.C:
				u.sample()
			}
		}
	})
	return u
}

func (u *usage) stop() peakUsage {
	close(u.end)
	u.wg.Wait()
	u.sample()
	return u.peak
}

func (u *usage) sample() {
	resident := u.residentBytes()
	u.peak.resident = max(u.peak.resident, resident)
	u.peak.memory = max(u.peak.memory, resident+u.socketBytes())
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
		u.peak.descriptors = max(u.peak.descriptors, len(entries))
	}
}

func (u *usage) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", u.pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// socketBytes returns the unread and unsent bytes of the connections that the process
// has accepted.
func (u *usage) socketBytes() int64 {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	var sum int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // 0A is a listening socket
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !u.ports[port] {
			continue
		}
		for _, queue := range strings.Split(fields[4], ":") {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}
