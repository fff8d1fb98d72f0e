package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/pause"
)

const openBodiesKind = "bodies held open"

const (
	// openBodies callers hold a body open at a time.
	openBodies     = 24
	openBodiesTime = 5 * time.Second
	// openBodyBytes is just within the limit of the configuration, and openBodyMissing is
	// the part that never arrives.
	openBodyBytes   = maxBodyBytes - 512
	openBodyMissing = 16
	// heldAfter is how long a connection stays open until its body counts as held.
	heldAfter = time.Second
	// openBodyJob is the beginning of the jobs' IDs. The checker knows none of these jobs,
	// so that a start of one breaks a promise.
	openBodyJob = "ffffffff"
)

// openBodiesFault lets callers hold bodies open just short of their end, half of them
// chunked. Its effect is that openBodies bodies were refused, closed or held.
func (h *harness) openBodiesFault() fault {
	ctx, cancel := context.WithCancel(context.Background())
	var affected atomic.Int64
	var wg sync.WaitGroup
	return fault{
		kind: openBodiesKind, name: openBodiesKind,
		begin: func() {
			for n := range openBodies {
				wg.Go(func() {
					for attempt := n; ctx.Err() == nil; attempt++ {
						id := fmt.Sprintf("%s%04x%04x", openBodyJob, n, attempt)
						if h.openBody(ctx, h.daemons[attempt%len(h.daemons)], id, n%2 == 0) {
							affected.Add(1)
						}
						pause.For(ctx, retryDelay)
					}
				})
			}
		},
		effect: func() bool { return affected.Load() >= openBodies },
		end: func() {
			cancel()
			wg.Wait()
		},
	}
}

// openBody sends a submission without its end, and waits until the daemon refuses or
// closes it or the context ends, at most openBodiesTime. It reports whether the body was
// refused together with its connection, closed, or held for heldAfter. What ends with
// its daemon doesn't count.
func (h *harness) openBody(ctx context.Context, d *process, id string, chunked bool) bool {
	life := d.life.Load()
	conn, err := net.DialTimeout("tcp", d.callersAddress, heldAfter)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(openBodiesTime))
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	if _, err := conn.Write([]byte(openRequest(h.operator.queues[0].path+id, chunked))); err != nil {
		return false
	}
	sentAt := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return time.Since(sentAt) >= heldAfter
	case err != nil:
		return life != nil && d.life.Load() == life && !life.toEnd.Load()
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		h.checker.report("%s accepted the job %s, whose body never ended", d.name, id)
	}
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Close
}

// openRequest returns a submission of which the last openBodyMissing bytes are missing.
func openRequest(path string, chunked bool) string {
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n",
		path, queueHost, keyInForce, callTimeout.Milliseconds())
	const begin = `{"spec":"payload","steps":[`
	body := begin + strings.Repeat(" ", openBodyBytes-openBodyMissing-len(begin))
	if chunked {
		return header + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", openBodyBytes, body)
	}
	return header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", openBodyBytes, body)
}
