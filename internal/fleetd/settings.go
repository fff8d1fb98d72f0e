// Package fleetd is the daemon on the users' platform: it wires the caller's
// port, the units that this daemon owns, and what they follow.
package fleetd

import (
	"bytes"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/owner"
)

// Settings are a daemon's, as its file gives them.
type Settings struct {
	// Instance is the machine's name.
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Listen addresses.
	Callers    string `json:"callers"`
	Readiness  string `json:"readiness"`
	Peers      string `json:"peers"`
	Operations string `json:"operations"`
	// Store, Machines and Advisor are addresses of the platform.
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Advisor  string `json:"advisor"`
	// Units is how many units the pools are dealt over.
	Units int `json:"units"`
	// MemoryMB is what the process may take.
	MemoryMB int `json:"memory_mb"`
	// ProcessorShare is the part of a core that the process may take.
	ProcessorShare float64 `json:"processor_share"`
	// DutiesPerSecond and ListsPerSecond bound calls about machines, of all
	// daemons together.
	DutiesPerSecond float64       `json:"duties_per_second"`
	ListsPerSecond  float64       `json:"lists_per_second"`
	Bounds          BoundSettings `json:"bounds"`
	Log             LogSettings   `json:"log"`
}

// LogSettings say what is logged.
type LogSettings struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// BoundSettings are the platform's bounds.
type BoundSettings struct {
	MaxLeaseMS    int64   `json:"max_lease_ms"`
	StopTimeoutMS int64   `json:"stop_timeout_ms"`
	StatusKeptS   float64 `json:"status_kept_s"`
	GraceS        float64 `json:"grace_s"`
	HarmMS        int64   `json:"harm_ms"`
	NoticeMS      int64   `json:"notice_ms"`
	MoveS         float64 `json:"move_s"`
	MaintenanceS  float64 `json:"maintenance_s"`
	DutyLeaseMS   int64   `json:"duty_lease_ms"`
	// CancelMS, DrainMS and EvacuateMS are after how long nothing may start of a
	// job that was cancelled, at an instance that leaves, in a data centre that
	// was taken out.
	CancelMS   int64 `json:"cancel_ms"`
	DrainMS    int64 `json:"drain_ms"`
	EvacuateMS int64 `json:"evacuate_ms"`
}

// Grace is how long the process has from the signal to stop to its end.
func (b BoundSettings) Grace() time.Duration { return seconds(b.GraceS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ParseSettings reads and checks a settings file.
func ParseSettings(file string, data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, errors.Wrap(err, file)
	}
	return s, errors.Wrap(s.validate(), file)
}

func (s Settings) validate() error {
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"operations", s.Operations}, {"store", s.Store},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return errors.Wrap(err, f.name)
		}
	}
	switch {
	case s.Instance == "":
		return errors.New("instance: missing")
	case s.Units < 1:
		return errors.Errorf("units: %d, want at least 1", s.Units)
	case s.MemoryMB < 1:
		return errors.Errorf("memory_mb: %d, want at least 1", s.MemoryMB)
	case s.DutiesPerSecond <= 0:
		return errors.Errorf("duties_per_second: %v, want more than 0", s.DutiesPerSecond)
	case s.ProcessorShare <= 0:
		return errors.Errorf("processor_share: %v, want more than 0", s.ProcessorShare)
	case s.Bounds.MaxLeaseMS < 1:
		return errors.Errorf("bounds.max_lease_ms: %d, want at least 1", s.Bounds.MaxLeaseMS)
	case s.Bounds.GraceS <= 0:
		return errors.Errorf("bounds.grace_s: %v, want more than 0", s.Bounds.GraceS)
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"cancel_ms", s.Bounds.CancelMS}, {"drain_ms", s.Bounds.DrainMS}, {"evacuate_ms", s.Bounds.EvacuateMS},
	} {
		if bound := millis(f.value); bound < owner.ShortestBound {
			return errors.Errorf("bounds.%s: %d, want at least %d", f.name, f.value, owner.ShortestBound.Milliseconds())
		}
	}
	return nil
}
