// Command standin runs a simulated platform for tests and trials: a log, a
// directory and backend servers on loopback listeners. It prints one line with its
// address once it is ready, and ends at SIGINT or SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/standin"
)

// Limits of each simulated backend server.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run() error {
	listen := flag.String("listen", "127.0.0.1:0", "address of the log, the directory and the control paths")
	instances := flag.Int("instances", 12, "number of backend servers")
	dataCentres := flag.String("data-centres", "trd1,trd2,trd3", "names of the data centres")
	rackSize := flag.Int("rack-size", 4, "instances in a rack")
	runTime := flag.Duration("run-time", 5*time.Millisecond, "run time of each task")
	rebootTime := flag.Duration("reboot-time", time.Second, "time of a reboot")
	keep := flag.Int("keep", 0, "records kept in each stream, 0 for all")
	flag.Parse()
	p, err := standin.New(standin.Options{
		Instances:   *instances,
		DataCentres: strings.Split(*dataCentres, ","),
		RackSize:    *rackSize,
		Slots:       defaultSlots,
		Connections: defaultConnections,
		RunTime:     *runTime,
		RebootTime:  *rebootTime,
		Retention:   *keep,
		Listen:      func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
	})
	if err != nil {
		return err
	}
	defer p.Close()
	return serve(*listen, p)
}

func serve(addr string, p *standin.Platform) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Printf("event=ready platform=%s\n", ln.Addr())
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
