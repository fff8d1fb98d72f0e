// Package fleetd is the daemon on the users' platform. It connects the callers'
// port, the units that the daemon owns and the topics that it follows, and
// depends on the platform through Ports alone.
package fleetd

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/store"
)

// Settings are the fields of a daemon's settings file.
type Settings struct {
	// Instance is the name of the machine that the daemon runs on.
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Callers, Readiness, Peers and Operations are listen addresses, host:port.
	Callers    string `json:"callers"`
	Readiness  string `json:"readiness"`
	Peers      string `json:"peers"`
	Operations string `json:"operations"`
	// Store, Machines and Advisor are addresses of the platform's services,
	// host:port. Without Machines no machine is moved or maintained, and without Advisor
	// no step of an advised queue starts.
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Advisor  string `json:"advisor"`
	// Units is the number of units that the pools are assigned to.
	Units int `json:"units"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may have open; 0
	// stands for the default.
	MaxDescriptors int `json:"max_descriptors"`
	// ProcessorShare is the share of a processor core that the process may use; 1 is
	// a whole core.
	ProcessorShare float64 `json:"processor_share"`
	// DutiesPerSecond and ListsPerSecond are the platform's limits on orders to
	// machines and on readings of the list of machines, of which a list of many takes
	// several, for all daemons together. They are required with Machines.
	DutiesPerSecond float64 `json:"duties_per_second"`
	ListsPerSecond  float64 `json:"lists_per_second"`
	// RecordBytes and CallBytes are the store's limits on a record and on the records of
	// one append; 0 stands for the defaults.
	RecordBytes int           `json:"record_bytes"`
	CallBytes   int           `json:"call_bytes"`
	Bounds      BoundSettings `json:"bounds"`
	Log         LogSettings   `json:"log"`
}

// Defaults of the platform's limits, from its documentation.
const (
	defaultRecordBytes = 262_144
	defaultCallBytes   = 2_097_152
	// defaultMaxDescriptors is that of the smallest deployments.
	defaultMaxDescriptors = 4100
	// minDescriptors leaves descriptors for each listener beyond those for files.
	minDescriptors = 300
	// minRecordBytes holds the largest record of a finished job and each record of the
	// fleet's machines.
	minRecordBytes = 16_384
)

// storeLimits returns the store's limits on records.
func (s Settings) storeLimits() store.Limits {
	l := store.Limits{Record: s.RecordBytes, Append: s.CallBytes}
	if l.Record == 0 {
		l.Record = defaultRecordBytes
	}
	if l.Append == 0 {
		l.Append = defaultCallBytes
	}
	return l
}

// LogSettings configures the log.
type LogSettings struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// BoundSettings are the platform's time bounds; owner.Bounds documents those that
// it takes over. A deployment leaves out the bounds of parts that it doesn't use; 0
// stands for the default, except of MaxLeaseMS and GraceS, which are required.
type BoundSettings struct {
	MaxLeaseMS    int64   `json:"max_lease_ms"`
	StopTimeoutMS int64   `json:"stop_timeout_ms"`
	StatusKeptS   float64 `json:"status_kept_s"`
	GraceS        float64 `json:"grace_s"`
	MoveS         float64 `json:"move_s"`
	MaintenanceS  float64 `json:"maintenance_s"`
	DutyLeaseMS   int64   `json:"duty_lease_ms"`
	// CancelMS, DrainMS and EvacuateMS are the times after which nothing may start
	// any more: of a cancelled job, at a draining instance, in a data centre taken
	// out of service.
	CancelMS   int64 `json:"cancel_ms"`
	DrainMS    int64 `json:"drain_ms"`
	EvacuateMS int64 `json:"evacuate_ms"`
}

// defaultBounds apply to bounds that the settings leave out. They are the shortest
// ones of the platform's documentation, and so the strictest.
var defaultBounds = BoundSettings{
	StopTimeoutMS: 1000, StatusKeptS: 120, MoveS: 1.5, MaintenanceS: 2, DutyLeaseMS: 3000,
	CancelMS: 3000, DrainMS: 2000, EvacuateMS: 5000,
}

// withDefaults returns the bounds with defaults in place of those left out.
func (b BoundSettings) withDefaults() BoundSettings {
	d := defaultBounds
	return BoundSettings{
		MaxLeaseMS: b.MaxLeaseMS, GraceS: b.GraceS,
		StopTimeoutMS: cmp.Or(b.StopTimeoutMS, d.StopTimeoutMS), StatusKeptS: cmp.Or(b.StatusKeptS, d.StatusKeptS),
		MoveS: cmp.Or(b.MoveS, d.MoveS), MaintenanceS: cmp.Or(b.MaintenanceS, d.MaintenanceS), DutyLeaseMS: cmp.Or(b.DutyLeaseMS, d.DutyLeaseMS),
		CancelMS: cmp.Or(b.CancelMS, d.CancelMS), DrainMS: cmp.Or(b.DrainMS, d.DrainMS), EvacuateMS: cmp.Or(b.EvacuateMS, d.EvacuateMS),
	}
}

// Grace returns the time that the process has between the stop signal and its end.
func (b BoundSettings) Grace() time.Duration { return seconds(b.GraceS) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ParseSettings decodes and checks the contents of a settings file. Errors name the
// file, and the field if it is known.
func ParseSettings(file string, data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, errors.Wrap(err, file)
	}
	s.Bounds = s.Bounds.withDefaults()
	s.MaxDescriptors = cmp.Or(s.MaxDescriptors, defaultMaxDescriptors)
	return s, errors.Wrap(s.validate(), file)
}

func (s Settings) validate() error {
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"operations", s.Operations}, {"store", s.Store},
	} {
		host, port, err := net.SplitHostPort(f.value)
		if err != nil {
			return errors.Wrap(err, f.name)
		}
		if host == "" || port == "" {
			return errors.Errorf("%s: %q, want host:port", f.name, f.value)
		}
	}
	switch {
	case s.Instance == "":
		return errors.New("instance: missing")
	case s.Units < 1:
		return errors.Errorf("units: %d, want at least 1", s.Units)
	case s.MemoryMB < 1:
		return errors.Errorf("memory_mb: %d, want at least 1", s.MemoryMB)
	case s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors:
		return errors.Errorf("max_descriptors: %d, want at least %d", s.MaxDescriptors, minDescriptors)
	case s.Machines != "" && s.DutiesPerSecond <= 0:
		return errors.Errorf("duties_per_second: %v, want more than 0", s.DutiesPerSecond)
	case s.Machines != "" && s.ListsPerSecond <= 0:
		return errors.Errorf("lists_per_second: %v, want more than 0", s.ListsPerSecond)
	case s.ProcessorShare <= 0:
		return errors.Errorf("processor_share: %v, want more than 0", s.ProcessorShare)
	case s.RecordBytes != 0 && s.RecordBytes < minRecordBytes:
		return errors.Errorf("record_bytes: %d, want at least %d", s.RecordBytes, minRecordBytes)
	case s.CallBytes != 0 && s.CallBytes < s.storeLimits().Record:
		return errors.Errorf("call_bytes: %d, want at least record_bytes", s.CallBytes)
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
