// Command beryltided is the daemon. It serves callers, runs their tasks at backend
// servers, and keeps its state by folding the platform's log. Its command fleet
// runs the daemon of the users' platform instead.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/daemon"
	"github.com/beryltide/beryltide/internal/logging"
	"github.com/beryltide/beryltide/internal/meter"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/platform/backend"
	"github.com/beryltide/beryltide/internal/platform/directory"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// Limits of the daemon's connections to backend servers, and of their answers.
const (
	maxTaskConns    = 8
	maxControlConns = 2
	maxAnswerBytes  = 16 << 20
	idleTimeout     = 90 * time.Second
)

func main() {
	cmd := &cli.Command{
		Name:  "beryltided",
		Usage: "serve callers and run their tasks at backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`, in JSON", Local: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands: []*cli.Command{fleetCommand()},
		Action:   run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "beryltided:", err)
		code := exitFailure
		var settingsErr *settingsError
		if errors.As(err, &settingsErr) {
			code = exitSettings
		}
		os.Exit(code)
	}
}

// settingsError is an error in the settings file; the process exits with
// exitSettings.
type settingsError struct{ cause error }

func (e *settingsError) Error() string { return e.cause.Error() }

func run(_ context.Context, cmd *cli.Command) error {
	s, err := loadSettings(cmd.String("settings"))
	if err != nil {
		return &settingsError{cause: err}
	}
	if cmd.Bool("check") {
		return nil
	}
	logger, err := logging.New(s.Log.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		// After the first signal the default handling is restored, so that a second
		// one ends the process at once.
		<-ctx.Done()
		stop()
	}()
	return serve(ctx, s, logger)
}

func loadSettings(file string) (settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "settings")
	}
	return settings.Parse(file, data)
}

func serve(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	ports, err := openPorts(s)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, ports, logger)
	if err != nil {
		return err
	}
	logger.Info("daemon.started",
		zap.String("instance", s.Instance),
		zap.Stringer("callers", ports.Callers.Addr()),
		zap.Stringer("peers", ports.Peers.Addr()),
		zap.Stringer("operations", ports.Operations.Addr()))
	return d.Run(ctx)
}

// openPorts opens the daemon's listeners and makes its clients of the platform.
func openPorts(s settings.Settings) (daemon.Ports, error) {
	security := peer.Security{Certificate: s.Peers.Certificate, Key: s.Peers.Key, Authority: s.Peers.Authority}
	if s.Peers.Plaintext {
		security = peer.Security{}
	}
	config, err := security.Config()
	if err != nil {
		return daemon.Ports{}, err
	}
	dial := (&net.Dialer{Timeout: s.Timeouts.Dial.D()}).DialContext
	meters := &daemon.Meters{}
	ports := daemon.Ports{
		Log:       logclient.New(s.Platform.Log, transport(meters.Log.Dial(dial))),
		Directory: directory.New(s.Platform.Directory, transport(meters.Directory.Dial(dial))),
		Backends: backend.New(backend.Options{
			TaskConns:    maxTaskConns,
			ControlConns: maxControlConns,
			MaxAnswer:    maxAnswerBytes,
			Dial:         backend.DialFunc(dial),
		}),
		DialPeer: peer.Dialer(config, meters.Peers.Dial(dial)),
		Meters:   meters,
	}
	listeners := []struct {
		addr string
		to   *net.Listener
	}{
		{s.Peers.Listen, &ports.Peers},
		{s.Callers.Listen, &ports.Callers},
		{s.Operations.Listen, &ports.Operations},
	}
	for _, l := range listeners {
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			return ports, errors.Wrap(err, "listen")
		}
	}
	ports.Peers = peer.Secure(meters.Peers.Listener(ports.Peers), config)
	return ports, nil
}

func transport(dial meter.DialFunc) *http.Transport {
	return &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout}
}
