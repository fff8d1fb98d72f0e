// Package status defines the JSON documents that a daemon serves on its
// operations port and that the operators' tool reads.
package status

import (
	"time"

	"github.com/beryltide/beryltide/internal/control"
)

// Status is one daemon's view of itself and of the fleet.
type Status struct {
	Instance   string `json:"instance"`
	Member     string `json:"member"`
	DataCentre string `json:"dataCentre"`
	Ready      bool   `json:"ready"`
	// NotReady is the reason why the daemon isn't ready.
	NotReady string `json:"notReady,omitempty"`
	// Revision and Digest are those of the active configuration.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Next is the offset of the next record to fold.
	Next int64 `json:"next"`
	// LogAge is the time since the log was last read, in milliseconds.
	LogAge      int64        `json:"logAgeMs"`
	DataCentres []DataCentre `json:"dataCentres"`
	Members     []Member     `json:"members"`
	Instances   []Instance   `json:"instances"`
	Teams       []Team       `json:"teams"`
	// Control holds the bytes on control connections since the daemon's start,
	// by kind: log, directory and peers.
	Control map[string]Bytes `json:"control,omitempty"`
}

// Revision is the revision and digest of the configuration that is active at a
// daemon.
type Revision struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Bytes are the numbers of bytes received and sent on one kind of connection.
type Bytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// DataCentre is a data centre of the active configuration.
type DataCentre struct {
	Name      string `json:"name"`
	InService bool   `json:"inService"`
}

// Member is one of the daemons that have joined.
type Member struct {
	ID         string `json:"id"`
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	OpsAddr    string `json:"opsAddr"`
	Folded     int64  `json:"folded"`
}

// Instance is one instance of the fleet.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	Phase      string `json:"phase"`
	Intent     string `json:"intent,omitempty"`
	To         string `json:"to,omitempty"`
	Wave       string `json:"wave,omitempty"`
	// MaintainedAt is the time of the last reboot, or of the instance's
	// adoption, in Unix seconds.
	MaintainedAt int64 `json:"maintainedAt"`
}

// Team is a team's share and limit, and its use of them.
type Team struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Limit int     `json:"limit"`
	// Granted is the number of credits granted to all daemons.
	Granted int `json:"granted"`
	// Running and Waiting are the numbers of this daemon's running tasks and
	// waiting requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// FromView returns a status with the fields that a view determines. LogAge is
// the time from logContact to now.
func FromView(v *control.View, logContact, now time.Time) Status {
	s := Status{
		Member:   string(v.Self),
		Revision: v.Revision,
		Digest:   v.Digest,
		Next:     int64(v.Next),
		LogAge:   now.Sub(logContact).Milliseconds(),
	}
	for _, name := range v.Centres.Names() {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, InService: v.Centres.InService(name)})
	}
	for _, m := range v.Members.All() {
		s.Members = append(s.Members, Member{
			ID:         string(m.ID),
			Instance:   m.Instance,
			DataCentre: m.DataCentre,
			OpsAddr:    m.OpsAddr,
			Folded:     int64(m.Folded),
		})
	}
	for _, i := range v.Fleet.All() {
		s.Instances = append(s.Instances, Instance{
			Name:         i.Name,
			DataCentre:   i.DataCentre,
			Rack:         i.Rack,
			Pool:         i.Pool,
			Phase:        i.Phase.String(),
			Intent:       i.Intent.String(),
			To:           i.To,
			Wave:         i.Wave,
			MaintainedAt: i.MaintainedAt,
		})
	}
	for _, name := range v.Ledger.Teams() {
		s.Teams = append(s.Teams, Team{
			Name:    name,
			Share:   v.Document.Teams[name].Share,
			Limit:   v.Ledger.Limit(name),
			Granted: v.Ledger.Granted(name),
		})
	}
	return s
}
