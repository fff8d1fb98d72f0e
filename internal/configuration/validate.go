package configuration

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// Bounds of a document's values.
const (
	maxLatency             = Duration(time.Hour)
	maxRunTime             = Duration(24 * time.Hour)
	maxRebootTime          = Duration(24 * time.Hour)
	minMaintenanceInterval = Duration(time.Hour)
	maxPoolSize            = 100_000
	maxTeamLimit           = 1_000_000
	maxQueueDepth          = 100_000
	maxBodyBytes           = 64 << 20
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate returns every fault of a document: values out of range and broken
// references. Only programs that make changes call it. The fold checks no more
// than a change's digest, so that daemons of all versions accept the same
// records.
func Validate(doc *Document) Faults {
	v := &validator{doc: doc}
	checkEntries(v, "dataCentres", doc.DataCentres, v.dataCentre)
	checkEntries(v, "services", doc.Services, v.service)
	checkEntries(v, "pools", doc.Pools, v.pool)
	v.oneSparePool()
	checkEntries(v, "queues", doc.Queues, v.queue)
	checkEntries(v, "teams", doc.Teams, v.team)
	checkEntries(v, "keys", doc.Keys, v.key)
	v.uniqueHashes()
	v.maintenance(doc.Maintenance)
	return v.faults
}

type validator struct {
	doc    *Document
	faults Faults
}

// checkEntries checks the name and the value of each entry of a section, in the
// order of the names.
func checkEntries[T any](v *validator, section string, entries map[string]T, check func(path string, entry T)) {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		path := join(section, name)
		v.require(namePattern.MatchString(name), path, name, "a name has 1 to 63 letters, digits, '-' or '_', and starts with a letter or digit")
		check(path, entries[name])
	}
}

// require adds a fault unless ok is true.
func (v *validator) require(ok bool, path string, value any, problem string) {
	if !ok {
		v.faults = append(v.faults, Fault{Path: path, Value: show(value), Problem: problem})
	}
}

func (v *validator) requireBetween(path string, value, low, high int64) {
	v.require(low <= value && value <= high, path, value, fmt.Sprintf("out of range %d to %d", low, high))
}

func (v *validator) requirePositive(path string, value, high Duration) {
	v.require(0 < value && value <= high, path, value, "must be greater than 0 and at most "+high.D().String())
}

func (v *validator) dataCentre(path string, dc DataCentre) {
	v.require(dc.Region != "", path+".region", dc.Region, "must not be empty")
}

func (v *validator) service(path string, s Service) {
	objective := s.AvailabilityObjective
	v.require(0 < objective && objective < 1, path+".availabilityObjective", objective, "must be greater than 0 and less than 1")
	v.requirePositive(path+".latencyObjective", s.LatencyObjective, maxLatency)
	v.requireBetween(path+".dailyBudget", int64(s.DailyBudget), 0, maxPoolSize)
}

func (v *validator) pool(path string, p Pool) {
	if p.Spare {
		v.require(p.Service == "", path+".service", p.Service, "the spare pool has no service")
	} else {
		v.requireReference(path+".service", "service", p.Service, hasEntry(v.doc.Services, p.Service))
	}
	v.requireBetween(path+".minSize", int64(p.MinSize), 0, maxPoolSize)
	v.requireBetween(path+".maxSize", int64(p.MaxSize), 1, maxPoolSize)
	sizeInBounds := p.MinSize <= p.Size && p.Size <= p.MaxSize
	v.require(sizeInBounds, path+".size", p.Size, fmt.Sprintf("must be within minSize %d and maxSize %d", p.MinSize, p.MaxSize))
}

func (v *validator) oneSparePool() {
	var spare []string
	for _, name := range slices.Sorted(maps.Keys(v.doc.Pools)) {
		if v.doc.Pools[name].Spare {
			spare = append(spare, name)
		}
	}
	switch len(spare) {
	case 0:
		v.require(false, "pools", nil, "exactly one pool must be spare, none is")
	case 1:
	default:
		for _, name := range spare[1:] {
			v.require(false, join("pools", name)+".spare", true, "exactly one pool must be spare, "+spare[0]+" is too")
		}
	}
}

func (v *validator) queue(path string, q Queue) {
	v.requireReference(path+".service", "service", q.Service, hasEntry(v.doc.Services, q.Service))
	pool, known := v.doc.Pools[q.Pool]
	v.requireReference(path+".pool", "pool", q.Pool, known)
	if known {
		v.require(pool.Service == q.Service, path+".pool", q.Pool, "the pool serves "+strconv.Quote(pool.Service)+", not the queue's service")
	}
	if q.Open {
		v.requireReference(path+".openTeam", "team", q.OpenTeam, hasEntry(v.doc.Teams, q.OpenTeam))
	} else {
		v.require(q.OpenTeam == "", path+".openTeam", q.OpenTeam, "only an open queue may have an open team")
	}
	v.requirePositive(path+".runTime", q.RunTime, maxRunTime)
	v.requireBetween(path+".maxBody", q.MaxBody, 1, maxBodyBytes)
	v.requireBetween(path+".depth", int64(q.Depth), 1, maxQueueDepth)
}

func (v *validator) team(path string, t Team) {
	v.require(0 < t.Share && !math.IsInf(t.Share, 0), path+".share", t.Share, "must be greater than 0")
	v.requireBetween(path+".limit", int64(t.Limit), 0, maxTeamLimit)
}

func (v *validator) key(path string, k Key) {
	v.requireReference(path+".team", "team", k.Team, hasEntry(v.doc.Teams, k.Team))
	v.require(hashPattern.MatchString(k.Hash), path+".hash", redactedHash(k.Hash), "must be a SHA-256 in 64 lower-case hexadecimal digits")
}

func (v *validator) uniqueHashes() {
	keyByHash := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(v.doc.Keys)) {
		hash := v.doc.Keys[name].Hash
		first, taken := keyByHash[hash]
		v.require(!taken, join("keys", name)+".hash", redactedHash(hash), "key "+first+" has the same hash")
		if !taken {
			keyByHash[hash] = name
		}
	}
}

func (v *validator) maintenance(m Maintenance) {
	if m.Interval == 0 {
		return
	}
	v.require(m.Interval >= minMaintenanceInterval, "maintenance.interval", m.Interval, "must be 0 or at least "+minMaintenanceInterval.D().String())
	v.requirePositive("maintenance.reboot", m.Reboot, maxRebootTime)
	v.require(m.Reboot < m.Interval, "maintenance.reboot", m.Reboot, "must be less than the interval")
}

func (v *validator) requireReference(path, what, name string, known bool) {
	v.require(known, path, name, "no such "+what)
}

func hasEntry[T any](section map[string]T, name string) bool {
	_, ok := section[name]
	return ok
}

// redacted is a text shown in place of a value that may be secret.
type redacted string

// redactedHash returns what is shown of a key's hash, in whose place a secret may
// have been entered by mistake.
func redactedHash(hash string) redacted {
	return redacted(fmt.Sprintf("(%d characters)", len(hash)))
}

func show(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case redacted:
		return string(v)
	default:
		return quote(v)
	}
}
