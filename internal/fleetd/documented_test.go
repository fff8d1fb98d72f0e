package fleetd

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The metrics page must list exactly the metrics of the code.
func TestMetricsPageMatchesCode(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../docs/FLEET-METRICS.md")
	is.NoErr(err)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)`").FindAllStringSubmatch(string(data), -1) {
		documented = append(documented, m[1])
	}
	var inCode []string
	call := regexp.MustCompile(`\.(?:Counter|Gauge|Histogram)\("([a-z_]+)"`)
	for _, file := range []string{"daemon.go", "limits.go", "../owner/meter.go", "../../cmd/beryltided/fleet.go"} {
		source, err := os.ReadFile(file)
		is.NoErr(err)
		for _, m := range call.FindAllStringSubmatch(string(source), -1) {
			inCode = append(inCode, m[1])
		}
	}
	slices.Sort(documented)
	slices.Sort(inCode)
	is.Equal(documented, slices.Compact(inCode))
}

const settings = `{"instance":"a","data_centre":"z","callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
"operations":"127.0.0.1:4","store":"127.0.0.1:5","machines":"127.0.0.1:6","advisor":"","units":24,"processor_share":0.4,"duties_per_second":64,"lists_per_second":64,"memory_mb":284,
"bounds":{"max_lease_ms":10000,"grace_s":6,"cancel_ms":3000,"drain_ms":2000,"evacuate_ms":5000}}`

func TestSettingsNameTheWrongField(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings("f.json", []byte(settings))
	is.NoErr(err)
	for _, c := range []struct{ from, to, want string }{
		{`"callers":"127.0.0.1:1"`, `"callers":"nowhere"`, "f.json: callers: address nowhere: missing port in address"},
		{`"units":24`, `"units":0`, "f.json: units: 0, want at least 1"},
		{`"units":24`, `"units":24,"max_descriptors":200`, "f.json: max_descriptors: 200, want at least 300"},
		{`"instance":"a"`, `"instance":""`, "f.json: instance: missing"},
		{`"max_lease_ms":10000`, `"max_lease_ms":0`, "f.json: bounds.max_lease_ms: 0, want at least 1"},
		{`"drain_ms":2000`, `"drain_ms":200`, "f.json: bounds.drain_ms: 200, want at least 1600"},
		{`"lists_per_second":64`, `"lists_per_second":0`, "f.json: lists_per_second: 0, want more than 0"},
		{`"peers":"127.0.0.1:3"`, `"peers":":"`, `f.json: peers: ":", want host:port`},
		{`"grace_s":6`, `"grace_s":6,"harm_ms":1`, `f.json: json: unknown field "harm_ms"`},
		{`"units":24`, `"units":24,"unit":1`, `f.json: json: unknown field "unit"`},
	} {
		_, err := ParseSettings("f.json", []byte(regexp.MustCompile(regexp.QuoteMeta(c.from)).ReplaceAllLiteralString(settings, c.to)))
		is.True(err != nil)
		is.Equal(err.Error(), c.want)
	}
}
