package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bodybudget"
	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/fleetd"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/intake"
	"github.com/beryltide/beryltide/internal/logging"
	"github.com/beryltide/beryltide/internal/metrics"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/platform"
)

// settingsVariable is the environment variable that holds the path of the settings
// file on the users' platform.
const settingsVariable = "BERYLTIDE_CONFIG"

// fleetCommand returns the command that runs the daemon on the users' platform.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "serve jobs on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`, in JSON", Sources: cli.EnvVars(settingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runFleet,
	}
}

func runFleet(_ context.Context, cmd *cli.Command) error {
	file := cmd.String("settings")
	data, err := os.ReadFile(file)
	if err != nil {
		return &settingsError{cause: errors.Wrap(err, "settings")}
	}
	s, err := fleetd.ParseSettings(file, data)
	if err != nil {
		return &settingsError{cause: err}
	}
	if cmd.Bool("check") {
		return nil
	}
	logger, closeLogger, err := logging.NewBounded(s.Log.Level, os.Stdout)
	if err != nil {
		return &settingsError{cause: err}
	}
	defer closeLogger()
	ports, err := openFleetPorts(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A change of the settings file takes effect at the next start.
	signal.Ignore(syscall.SIGHUP)
	return fleetd.New(s, ports, logger).Run(ctx)
}

// openFleetPorts opens the daemon's listeners and makes its clients of the
// platform.
func openFleetPorts(s fleetd.Settings, logger *zap.Logger) (fleetd.Ports, error) {
	scope, metricsPage, _ := metrics.New()
	instances := platform.NewInstances()
	ports := fleetd.Ports{
		Log:              store.Watch(platform.NewStore(s.Store, observeStoreCalls(scope)), bootclock.System),
		Instances:        instances,
		MixedConnections: instances.MixedConnections,
		Advisor:          platform.NewAdvisor(s.Advisor),
		Decoders: fleetview.Decoders{
			Operator:     platform.DecodeOperatorRecord,
			Registration: platform.DecodeRegistration,
		},
		OperatorTopic: platform.OperatorTopic,
		RegistryTopic: platform.RegistryTopic,
		StatusTopic:   platform.StatusTopic,
		WaveStatus:    platform.WaveStatus,
		Callers: func(service *intake.Service, view *fleetview.View, bodies *bodybudget.Budget) http.Handler {
			return &platform.Callers{Intake: service, Bodies: bodies, Catalog: view.Catalog, ConfigurationAge: view.ConfigurationAge, Logger: logger, OnResponse: countResponses(scope)}
		},
		Clock:       bootclock.System,
		Metrics:     scope,
		MetricsPage: metricsPage,
	}
	if s.Machines != "" {
		ports.Machines = platform.NewMachines(s.Machines, s.ListsPerSecond)
	}
	listeners := []struct {
		addr string
		to   *net.Listener
	}{
		{s.Callers, &ports.CallersListener},
		{s.Readiness, &ports.ReadinessListener},
		{s.Peers, &ports.PeersListener},
		{s.Operations, &ports.OperationsListener},
	}
	for _, l := range listeners {
		var err error
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			return ports, errors.Wrap(err, "listen")
		}
	}
	return ports, nil
}

// countResponses returns a function that counts responses to callers by method
// and status.
func countResponses(scope tally.Scope) func(method string, status int) {
	return func(method string, status int) {
		scope.Tagged(map[string]string{"method": method, "status": strconv.Itoa(status)}).Counter("requests_answered").Inc(1)
	}
}

// observeStoreCalls returns an observer that counts and times calls to the
// store by kind and result.
func observeStoreCalls(scope tally.Scope) platform.Observer {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return func(call string, err error, took time.Duration) {
		result := "ok"
		if err != nil {
			result = "failed"
		}
		s := scope.Tagged(map[string]string{"call": call, "result": result})
		s.Counter("store_calls").Inc(1)
		s.Histogram("store_call_seconds", buckets).RecordDuration(took)
	}
}
