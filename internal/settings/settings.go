// Package settings reads and checks a daemon's settings file. It owns the file's
// format and its defaults. Errors are one line and name the file and the field.
package settings

import (
	"bytes"
	"encoding/json"
	"net"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Settings are the fields of a daemon's settings file.
type Settings struct {
	// Instance, Rack and DataCentre are the daemon's name and location.
	Instance   string `json:"instance"`
	Rack       string `json:"rack"`
	DataCentre string `json:"dataCentre"`
	// Callers, Peers and Operations are the ports that the daemon serves.
	Callers    Callers    `json:"callers"`
	Peers      Peers      `json:"peers"`
	Operations Operations `json:"operations"`
	Platform   Platform   `json:"platform"`
	Timeouts   Timeouts   `json:"timeouts"`
	Log        Log        `json:"log"`
}

// Callers is the port that callers reach through the balancer.
type Callers struct {
	// Listen is the address, host:port.
	Listen string `json:"listen"`
}

// Peers is the port for other daemons.
type Peers struct {
	Listen string `json:"listen"`
	// Advertise is the address that peers use; Listen when empty.
	Advertise string `json:"advertise"`
	// Certificate, Key and Authority are PEM files for mutual TLS.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
	// Plaintext allows TCP without TLS, on a loopback address only.
	Plaintext bool `json:"plaintext"`
}

// Operations is the port for operators: health, metrics, status and profiles.
type Operations struct {
	Listen string `json:"listen"`
	// Advertise is the address that the command-line tool uses; Listen when
	// empty.
	Advertise string `json:"advertise"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Log       string `json:"log"`
	Directory string `json:"directory"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Timeouts are the daemon's timeouts and intervals, each written with its unit.
type Timeouts struct {
	// Request limits a request whose caller sets no timeout.
	Request configuration.Duration `json:"request"`
	// BodyRead limits the time for reading a request's body.
	BodyRead configuration.Duration `json:"bodyRead"`
	// Dial limits the time for opening a connection.
	Dial configuration.Duration `json:"dial"`
	// Tick is the interval at which the daemon submits the reports and other
	// records that are due.
	Tick configuration.Duration `json:"tick"`
	// Heartbeat is the interval of reports without changes. A large fleet uses a
	// longer one.
	Heartbeat configuration.Duration `json:"heartbeat"`
	// BalancerDelay is how long the balancer may take to notice a failed readiness
	// check.
	BalancerDelay configuration.Duration `json:"balancerDelay"`
	// Drain limits the time that running work gets to finish when the daemon stops.
	Drain configuration.Duration `json:"drain"`
	// ClaimWindow is how long an idempotency key is kept.
	ClaimWindow configuration.Duration `json:"claimWindow"`
}

// Default returns the default settings, which a file's fields override.
func Default() Settings {
	return Settings{
		Timeouts: Timeouts{
			Request:       configuration.Duration(30 * time.Second),
			BodyRead:      configuration.Duration(10 * time.Second),
			Dial:          configuration.Duration(time.Second),
			Tick:          configuration.Duration(100 * time.Millisecond),
			Heartbeat:     configuration.Duration(2 * time.Second),
			BalancerDelay: configuration.Duration(5 * time.Second),
			Drain:         configuration.Duration(30 * time.Second),
			ClaimWindow:   configuration.Duration(15 * time.Minute),
		},
		Log: Log{Level: "info"},
	}
}

// Parse decodes and checks the contents of a settings file. The error names the
// file, and the field if it is known.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, decodeError(file, err)
	}
	if dec.More() {
		return s, errors.Errorf("%s: data after the settings object", file)
	}
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
	if s.Operations.Advertise == "" {
		s.Operations.Advertise = s.Operations.Listen
	}
	return s, errors.WithMessage(s.check(), file)
}

// decodeError describes an error of the decoder, with the field if it is known.
func decodeError(file string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Errorf("%s: %s: want %s, have %s", file, mismatch.Field, mismatch.Type, mismatch.Value)
	}
	return errors.WithMessage(err, file)
}

func (s *Settings) check() error {
	required := []struct{ field, value string }{
		{"instance", s.Instance},
		{"rack", s.Rack},
		{"dataCentre", s.DataCentre},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.Errorf("%s: missing", r.field)
		}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkPeerSecurity(); err != nil {
		return err
	}
	return s.checkTimes()
}

func (s *Settings) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"callers.listen", s.Callers.Listen},
		{"peers.listen", s.Peers.Listen},
		{"peers.advertise", s.Peers.Advertise},
		{"operations.listen", s.Operations.Listen},
		{"operations.advertise", s.Operations.Advertise},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Errorf("%s: %q is not host:port", a.field, a.value)
		}
	}
	services := []struct{ field, value string }{
		{"platform.log", s.Platform.Log},
		{"platform.directory", s.Platform.Directory},
	}
	for _, u := range services {
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return errors.Errorf("%s: %q is not an http or https URL", u.field, u.value)
		}
	}
	return nil
}

func (s *Settings) checkPeerSecurity() error {
	if !s.Peers.Plaintext {
		files := []struct{ field, value string }{
			{"peers.certificate", s.Peers.Certificate},
			{"peers.key", s.Peers.Key},
			{"peers.authority", s.Peers.Authority},
		}
		for _, f := range files {
			if f.value == "" {
				return errors.Errorf("%s: missing", f.field)
			}
		}
		return nil
	}
	host, _, _ := net.SplitHostPort(s.Peers.Listen)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Errorf("peers.plaintext: peers.listen %q is not a loopback address", s.Peers.Listen)
	}
	return nil
}

func (s *Settings) checkTimes() error {
	times := []struct {
		field       string
		value       configuration.Duration
		least, most time.Duration
	}{
		{"timeouts.request", s.Timeouts.Request, time.Millisecond, 24 * time.Hour},
		{"timeouts.bodyRead", s.Timeouts.BodyRead, time.Millisecond, time.Hour},
		{"timeouts.dial", s.Timeouts.Dial, time.Millisecond, time.Minute},
		{"timeouts.tick", s.Timeouts.Tick, 10 * time.Millisecond, 10 * time.Second},
		{"timeouts.heartbeat", s.Timeouts.Heartbeat, 100 * time.Millisecond, time.Minute},
		{"timeouts.balancerDelay", s.Timeouts.BalancerDelay, 0, 10 * time.Minute},
		{"timeouts.drain", s.Timeouts.Drain, 0, 24 * time.Hour},
		{"timeouts.claimWindow", s.Timeouts.ClaimWindow, time.Minute, 24 * time.Hour},
	}
	for _, t := range times {
		if d := t.value.D(); d < t.least || d > t.most {
			return errors.Errorf("%s: %s is outside %s to %s", t.field, d, t.least, t.most)
		}
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return errors.Errorf("log.level: %q is not debug, info, warn or error", s.Log.Level)
	}
}
