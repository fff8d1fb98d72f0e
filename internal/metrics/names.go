package metrics

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Units of metrics.
const (
	unitNone     = "none"
	unitSeconds  = "seconds"
	unitBytes    = "bytes"
	unitRequests = "requests"
	unitTasks    = "tasks"
	unitRecords  = "records"
)

// Names of metrics, without the common prefix.
const (
	nameStarts          = "starts"
	nameRequests        = "requests"
	nameRequestDuration = "request_duration"
	nameReady           = "ready"
	nameRevision        = "revision"
	nameLogOffset       = "log_offset"
	nameLogAge          = "log_age"
	nameMembers         = "members"
	nameInstances       = "instances"
	nameTeamLimit       = "team_limit"
	nameTeamGranted     = "team_granted"
	nameTeamRunning     = "team_running"
	nameTeamWaiting     = "team_waiting"
	nameControlBytes    = "control_bytes"
)

// Tags of metrics.
const (
	tagQueue      = "queue"
	tagOutcome    = "outcome"
	tagPool       = "pool"
	tagPhase      = "phase"
	tagTeam       = "team"
	tagConnection = "connection"
	tagDirection  = "direction"
)

// Metric describes one metric.
type Metric struct {
	// Name is the full name on the metrics page.
	Name string
	Kind Kind
	Unit string
	Tags []string
}

// All returns every metric of a daemon, in the order of docs/METRICS.md.
func All() []Metric {
	return []Metric{
		{fullName(nameStarts), KindCounter, unitNone, nil},
		{fullName(nameReady), KindGauge, unitNone, nil},
		{fullName(nameRequests), KindCounter, unitRequests, []string{tagQueue, tagOutcome}},
		{fullName(nameRequestDuration), KindHistogram, unitSeconds, []string{tagQueue}},
		{fullName(nameRevision), KindGauge, unitNone, nil},
		{fullName(nameLogOffset), KindGauge, unitRecords, nil},
		{fullName(nameLogAge), KindGauge, unitSeconds, nil},
		{fullName(nameMembers), KindGauge, unitNone, nil},
		{fullName(nameInstances), KindGauge, unitNone, []string{tagPool, tagPhase}},
		{fullName(nameTeamLimit), KindGauge, unitTasks, []string{tagTeam}},
		{fullName(nameTeamGranted), KindGauge, unitTasks, []string{tagTeam}},
		{fullName(nameTeamRunning), KindGauge, unitTasks, []string{tagTeam}},
		{fullName(nameTeamWaiting), KindGauge, unitRequests, []string{tagTeam}},
		{fullName(nameControlBytes), KindGauge, unitBytes, []string{tagConnection, tagDirection}},
	}
}

func fullName(name string) string { return prefix + "_" + name }
